#pragma once

#include <libraries/catalogue/document.h>
#include <libraries/sessions/command.h>

#include <map>
#include <set>
#include <utility>

namespace catkinlanding::sessions {

/// The sessions part of the replicated state machine: the same commands in the same order give the
/// same verdicts on every voter.
///
/// The first proposal for a session pins it. A pin changes only if the catalogue, at that position
/// in the log, has withdrawn its version or no longer allows the customer to use it.
class registry {
public:
  /// A session without any proposal for this long expires.
  static constexpr base::duration retention = std::chrono::hours(1);
  static constexpr std::size_t max_pins = 100'000;
  /// Keeps one customer from using up the capacity of all by creating sessions.
  static constexpr std::size_t max_pins_per_customer = 25'000;

  [[nodiscard]] verdict apply(command const& command, catalogue::document const& document);

  [[nodiscard]] base::duration clock() const { return m_clock; }
  [[nodiscard]] std::size_t size() const { return m_records.size(); }
  /// The number of pins that replaced one whose version became unusable.
  [[nodiscard]] std::uint64_t moves() const { return m_moves; }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(m_clock, m_records, m_by_age, m_by_customer, m_last_sequence, m_moves);
  }

private:
  struct record {
    sessions::pin pin;
    base::duration touched_at{};

    template<class Archive>
    void serialize(Archive& archive) {
      archive(pin, touched_at);
    }
  };

  using age_key = std::pair<base::duration, session_key>;

  [[nodiscard]] verdict apply(proposal const& proposal, catalogue::document const& document);
  [[nodiscard]] bool has_capacity(base::customer_id const& customer) const;
  void grant(proposal const& proposal);
  void repin(record& record, base::version_id const& version);
  void touch(session_key const& key, record& record);
  void expire_old_records();

  base::duration m_clock{};
  std::map<session_key, record> m_records;
  std::set<age_key> m_by_age;
  std::map<base::customer_id, std::uint64_t> m_by_customer;
  std::uint64_t m_last_sequence = 0;
  std::uint64_t m_moves = 0;
};

} // namespace catkinlanding::sessions
