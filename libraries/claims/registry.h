#pragma once

#include <libraries/claims/command.h>

#include <map>
#include <set>
#include <utility>

namespace catkinlanding::claims {

/// The claims part of the replicated state machine: the same commands in the same order give the
/// same verdicts on every voter.
///
/// A key becomes free again only when its holder releases it or when it expires. If the holder
/// stops responding, the claim is never given to another holder, because the request may already
/// have been sent.
class registry {
public:
  /// A key without any action for this long expires.
  static constexpr base::duration retention = std::chrono::hours(1);
  static constexpr base::duration answer_retention = std::chrono::minutes(10);
  static constexpr std::size_t max_claims = 100'000;
  static constexpr std::size_t max_stored_answer_bytes = 16 * std::size_t{1024};
  static constexpr std::size_t max_total_answer_bytes = 8 * std::size_t{1024} * 1024;

  [[nodiscard]] verdict apply(command const& command);

  [[nodiscard]] base::duration clock() const { return m_clock; }
  [[nodiscard]] std::size_t size() const { return m_records.size(); }
  [[nodiscard]] std::size_t answer_bytes() const { return m_answer_bytes; }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(m_clock, m_records, m_by_age, m_answers_by_age, m_answer_bytes);
  }

private:
  enum class phase : std::uint8_t { running, released, finished };
  /// The decoder rejects greater values.
  friend constexpr phase last_enumerator(phase /*any*/) { return phase::finished; }

  struct record {
    registry::phase phase = phase::running;
    std::uint64_t digest = 0;
    claims::holder holder;
    base::duration touched_at{};
    base::duration run_deadline{};
    run_result result = run_result::unknown;
    std::optional<stored_answer> answer;

    template<class Archive>
    void serialize(Archive& archive) {
      archive(phase, digest, holder, touched_at, run_deadline, result, answer);
    }
  };

  using age_key = std::pair<base::duration, base::request_id>;

  verdict apply(claim const& claim);
  verdict apply(finish const& finish);
  verdict apply(release const& release);

  [[nodiscard]] verdict decide_existing(record const& record, claim const& claim) const;
  void grant(claim const& claim);
  void touch(base::request_id const& request, record& record);
  void store_answer(base::request_id const& request, record& record, stored_answer const& answer);
  void drop_answer(base::request_id const& request, record& record);
  void expire_old_records();

  base::duration m_clock{};
  std::map<base::request_id, record> m_records;
  std::set<age_key> m_by_age;
  std::set<age_key> m_answers_by_age;
  std::size_t m_answer_bytes = 0;
};

} // namespace catkinlanding::claims
