#include <libraries/limits/token_estimates.h>

namespace catkinlanding::limits {

namespace {

constexpr std::size_t bytes_per_token = 4;
constexpr double initial_completion_tokens = 256.0;
constexpr double learning_rate = 0.05;
constexpr std::size_t max_classes = 1024;

} // namespace

std::uint64_t token_estimates::estimate(base::class_id const& request_class,
                                        std::size_t body_bytes) const {
  auto const it = m_completion_tokens.find(request_class);
  double const completion =
      it == m_completion_tokens.end() ? initial_completion_tokens : it->second;
  return body_bytes / bytes_per_token + static_cast<std::uint64_t>(completion);
}

void token_estimates::observe(base::class_id const& request_class,
                              std::uint64_t completion_tokens) {
  if (m_completion_tokens.size() >= max_classes && !m_completion_tokens.contains(request_class)) {
    return;
  }
  auto const [it, is_new] =
      m_completion_tokens.try_emplace(request_class, static_cast<double>(completion_tokens));
  it->second += learning_rate * (static_cast<double>(completion_tokens) - it->second);
}

} // namespace catkinlanding::limits
