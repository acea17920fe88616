#pragma once

#include <libraries/billing/bill.h>

#include <variant>

namespace catkinlanding::billing {

/// An entry instance hands bills to a ledger.
struct bill_batch {
  std::vector<bill> bills;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(bills);
  }
};

/// A ledger has these bills on its disk, synced.
struct bill_receipt {
  std::vector<base::request_id> requests;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(requests);
  }
};

/// An entry instance asks another one of its zone to hold a bill in memory, in case it dies.
struct bill_copy {
  billing::bill bill;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(bill);
  }
};

struct copy_receipt {
  base::request_id request;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};

/// These bills are on enough disks, so that their copies can go.
struct bills_settled {
  std::vector<base::request_id> requests;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(requests);
  }
};

using message = std::variant<bill_batch, bill_receipt, bill_copy, copy_receipt, bills_settled>;

struct outgoing {
  base::instance_id to;
  billing::message message;
};

} // namespace catkinlanding::billing
