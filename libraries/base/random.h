#pragma once

#include <random>

namespace catkinlanding::base {

/// The generator that is part of a reducer's state, so that a run can be repeated from its seed.
using random_generator = std::mt19937_64;

} // namespace catkinlanding::base
