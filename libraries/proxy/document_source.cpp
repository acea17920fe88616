#include <libraries/base/codec.h>
#include <libraries/proxy/document_source.h>

#include <algorithm>

namespace catkinlanding::proxy {

void document_source::offer(document const& document) {
  bool const is_known = !m_documents.empty() && m_documents.back().revision >= document.revision;
  if (document.revision == 0 || is_known) {
    return;
  }
  m_documents.push_back({.revision = document.revision, .bytes = base::encode(document)});
  if (m_documents.size() > max_documents) {
    m_documents.pop_front();
  }
}

bool document_source::is_small() const {
  return m_documents.empty() || m_documents.back().bytes.size() <= max_part_bytes;
}

std::optional<document_part> document_source::part(document_request const& request) const {
  if (m_documents.empty()) {
    return std::nullopt;
  }
  auto found = std::ranges::find(m_documents, request.revision, &encoded_document::revision);
  bool const is_available = found != m_documents.end() && request.offset < found->bytes.size();
  if (!is_available) {
    found = std::prev(m_documents.end());
  }
  auto const offset = is_available ? request.offset : 0;
  return document_part{.revision = found->revision,
                       .total_bytes = found->bytes.size(),
                       .offset = offset,
                       .bytes = found->bytes.substr(offset, max_part_bytes)};
}

} // namespace catkinlanding::proxy
