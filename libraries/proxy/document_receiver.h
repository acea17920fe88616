#pragma once

#include <libraries/base/time.h>
#include <libraries/proxy/message.h>

#include <optional>
#include <string>

namespace catkinlanding::proxy {

/// Collects the parts of a document that the leader offers. Only one part is requested at a time,
/// so that other messages have to wait for one part at most. A document once begun is completed
/// before a newer one is requested: otherwise changes in quick succession would leave an instance
/// without any of them.
class document_receiver {
public:
  struct options {
    /// A part that did not arrive within this time is requested again.
    base::duration part_timeout = std::chrono::milliseconds(500);
    /// Bounds the memory that a forged part can take up.
    std::uint64_t max_document_bytes = 64 * 1024 * 1024;
  };

  explicit document_receiver(options options) : m_options(options) {}

  /// Records that the leader offers this revision, which is newer than the one held.
  void note_offer(std::uint64_t revision);
  /// Ends the transfer of this or an older revision, as the document arrived otherwise.
  void note_held(std::uint64_t revision);
  /// The request to send to the leader now; nothing if none is due.
  [[nodiscard]] std::optional<document_request> request_due(base::monotonic_time now);
  /// Adds a part. Returns the document if it is complete. A part that does not follow the last one
  /// is ignored.
  [[nodiscard]] std::optional<document> add(document_part const& part);

private:
  void begin(std::uint64_t revision);
  [[nodiscard]] bool follows(document_part const& part) const;
  [[nodiscard]] std::optional<document> finish();

  options m_options;
  std::uint64_t m_offered = 0;
  /// The revision that is being transferred; 0 if there is none.
  std::uint64_t m_revision = 0;
  std::string m_bytes;
  /// When the outstanding part was requested; nothing if none is outstanding.
  std::optional<base::monotonic_time> m_requested_at;
};

} // namespace catkinlanding::proxy
