#pragma once

#include <libraries/proxy/message.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace catkinlanding::proxy {

/// The encoded documents that the leader sends to entry instances, each encoded once. A small one
/// travels within updates; the receivers request a larger one part by part, so that neither the
/// leader nor a slow link is busy with it for long at a time.
class document_source {
public:
  /// At 10 Mbit/s, the slowest link of an instance, a part takes 50 ms.
  static constexpr std::size_t max_part_bytes = 64 * 1024;

  /// Makes the document available. The one before remains so, as transfers of it go on.
  void offer(document const& document);
  /// Whether the newest document fits into an update.
  [[nodiscard]] bool is_small() const;
  /// The requested part, or the first one of the newest document if the requested one is no longer
  /// available; nothing if there is no document.
  [[nodiscard]] std::optional<document_part> part(document_request const& request) const;

private:
  static constexpr std::size_t max_documents = 2;

  struct encoded_document {
    std::uint64_t revision = 0;
    std::string bytes;
  };

  /// The newest one is last.
  std::deque<encoded_document> m_documents;
};

} // namespace catkinlanding::proxy
