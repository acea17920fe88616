#pragma once

namespace catkinlanding::base {

/// Reports the broken invariant on standard error and aborts the process.
[[noreturn]] void fail_verification(char const* condition, char const* file, int line);

} // namespace catkinlanding::base

/// Asserts an invariant of the program, in release builds too: serving on with a broken invariant
/// would harm callers more than the restart does.
#define CATKINLANDING_VERIFY(condition)                                                            \
  (static_cast<bool>(condition)                                                                    \
       ? static_cast<void>(0)                                                                      \
       : ::catkinlanding::base::fail_verification(#condition, __FILE__, __LINE__))
