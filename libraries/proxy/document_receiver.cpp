#include <libraries/base/codec.h>
#include <libraries/proxy/document_receiver.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::proxy {

void document_receiver::note_offer(std::uint64_t revision) {
  m_offered = std::max(m_offered, revision);
  if (m_revision == 0) {
    begin(m_offered);
  }
}

void document_receiver::note_held(std::uint64_t revision) {
  if (m_offered <= revision) {
    m_offered = 0;
  }
  if (m_revision <= revision) {
    begin(m_offered);
  }
}

std::optional<document_request> document_receiver::request_due(base::monotonic_time now) {
  bool const is_awaited = m_requested_at && now < *m_requested_at + m_options.part_timeout;
  if (m_revision == 0 || is_awaited) {
    return std::nullopt;
  }
  m_requested_at = now;
  return document_request{.revision = m_revision, .offset = m_bytes.size()};
}

std::optional<document> document_receiver::add(document_part const& part) {
  if (m_revision == 0 || part.total_bytes > m_options.max_document_bytes) {
    return std::nullopt;
  }
  bool const is_replaced = part.revision > m_revision && part.offset == 0;
  if (is_replaced) {
    // The leader no longer has the document that was begun.
    begin(part.revision);
  }
  if (!follows(part)) {
    return std::nullopt;
  }
  m_bytes.append(part.bytes);
  if (m_bytes.size() >= part.total_bytes) {
    return finish();
  }
  m_requested_at.reset();
  return std::nullopt;
}

void document_receiver::begin(std::uint64_t revision) {
  m_revision = revision;
  m_bytes.clear();
  m_requested_at.reset();
}

bool document_receiver::follows(document_part const& part) const {
  return part.revision == m_revision && part.offset == m_bytes.size() && !part.bytes.empty();
}

std::optional<document> document_receiver::finish() {
  auto decoded = base::decode<document>(m_bytes);
  bool const is_whole = decoded && decoded->revision == m_revision;
  if (!is_whole) {
    // The parts of two leaders did not fit together. The first part is requested again when the
    // last request has timed out, so that a document which nobody can read causes little traffic.
    m_bytes.clear();
    return std::nullopt;
  }
  begin(0);
  return std::move(*decoded);
}

} // namespace catkinlanding::proxy
