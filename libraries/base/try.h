#pragma once

#include <tl/expected.hpp>

#include <utility>

/// Takes the value out of an expected, or returns its error from the enclosing function.
#define CATKINLANDING_TRY(expression)                                                              \
  ({                                                                                               \
    auto catkinlanding_result = (expression);                                                      \
    if (!catkinlanding_result.has_value()) {                                                       \
      return tl::unexpected(std::move(catkinlanding_result).error());                              \
    }                                                                                              \
    std::move(catkinlanding_result).value();                                                       \
  })

/// Returns the error of an expected without a value from the enclosing function, if it has one.
#define CATKINLANDING_TRY_VOID(expression)                                                         \
  do {                                                                                             \
    auto catkinlanding_result = (expression);                                                      \
    if (!catkinlanding_result.has_value()) {                                                       \
      return tl::unexpected(std::move(catkinlanding_result).error());                              \
    }                                                                                              \
  } while (false)
