#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <vector>

/// Bills, one per answered request, and their way from the entry instance that answered it to the
/// ledgers on disk.
namespace catkinlanding::billing {

/// The charge for one attempt.
struct bill_line {
  base::model_id model;
  base::version_id version;
  base::service_id service;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  /// In millionths of the currency.
  std::uint64_t price = 0;

  bool operator==(bill_line const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(model, version, service, prompt_tokens, completion_tokens, price);
  }
};

/// The charges for one request. Bills with the same request id are duplicates of one bill.
struct bill {
  base::request_id request;
  base::customer_id customer;
  base::class_id request_class;
  base::wall_time answered_at{};
  std::vector<bill_line> lines;

  bool operator==(bill const&) const = default;

  [[nodiscard]] std::uint64_t price() const {
    std::uint64_t sum = 0;
    for (auto const& line : lines) {
      sum += line.price;
    }
    return sum;
  }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(request, customer, request_class, answered_at, lines);
  }
};

} // namespace catkinlanding::billing
