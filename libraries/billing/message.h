#pragma once

#include <libraries/billing/bill.h>

#include <variant>

namespace catkinlanding::billing {

/// Bills that an entry instance sends to a ledger.
struct bill_batch {
  std::vector<bill> bills;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(bills);
  }
};

/// Confirms that the ledger has synced these bills to disk.
struct bill_receipt {
  std::vector<base::request_id> requests;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(requests);
  }
};

/// Asks another entry instance of the zone to keep a copy of a bill in memory, in case the sender
/// crashes.
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

/// A majority of the ledgers has stored these bills, so that their copies can be discarded.
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
