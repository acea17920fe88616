#pragma once

namespace catkinlanding::base {

/// Joins one callable per alternative into a visitor for std::visit.
template<class... Callables>
struct overloaded : Callables... {
  using Callables::operator()...;
};

template<class... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

} // namespace catkinlanding::base
