#include <libraries/base/digest.h>
#include <libraries/relays/proof.h>

namespace catkinlanding::relays {

namespace {

/// The digest once more over the secret and an inner digest, as in HMAC: otherwise text could be
/// appended to a known statement.
std::string digest_with(std::uint64_t secret, std::string const& text) {
  auto const key = std::to_string(secret) + "\n";
  return base::sha256(key + base::sha256(key + text));
}

} // namespace

std::string make_proof(std::uint64_t secret, statement const& statement) {
  return digest_with(secret, std::to_string(statement.attempts) + "\n" +
                                 std::to_string(statement.endings) + "\n" +
                                 std::string(statement.request_id));
}

bool is_proof(std::string_view text, std::uint64_t secret, statement const& statement) {
  auto const expected = make_proof(secret, statement);
  if (text.size() != expected.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < expected.size(); ++i) {
    difference |= static_cast<unsigned char>(text[i]) ^ static_cast<unsigned char>(expected[i]);
  }
  return difference == 0;
}

} // namespace catkinlanding::relays
