#include <libraries/base/codec.h>
#include <libraries/instance/message.h>
#include <libraries/operators/codec.h>
#include <libraries/operators/reply.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <new>
#include <rapidcheck.h>

namespace {

/// What the program allocated since the counter was last set to zero.
std::size_t allocated_bytes = 0;

} // namespace

// The compiler pairs these with the library's own and warns of a mismatch that isn't there.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

void* operator new(std::size_t size) {
  allocated_bytes += size;
  if (void* const memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace catkinlanding {

namespace {

/// Growth of containers and the size of an element in memory over its size in bytes.
constexpr std::size_t largest_amplification = 64;
constexpr std::size_t fixed_bytes = 16 * 1024;

/// Runs `decode` and asserts that it allocates no more than its input justifies.
template<class Decode>
void check_bound(std::string const& bytes, Decode const& decode) {
  allocated_bytes = 0;
  decode(bytes);
  auto const used = allocated_bytes;
  RC_ASSERT(used <= fixed_bytes + largest_amplification * bytes.size());
}

void check_decoders(std::string const& bytes) {
  check_bound(bytes, [](auto const& b) { static_cast<void>(instance::decode(b)); });
  check_bound(bytes, [](auto const& b) { static_cast<void>(operators::decode_request(b)); });
  check_bound(bytes, [](auto const& b) { static_cast<void>(operators::decode_reply(b)); });
}

std::string any_text() {
  return *rc::gen::container<std::string>(*rc::gen::inRange(0, 20), rc::gen::arbitrary<char>());
}

catalogue::change any_change() {
  catalogue::change change;
  change.id = {any_text()};
  change.base_revision = *rc::gen::arbitrary<std::uint64_t>();
  for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
    catalogue::customer customer;
    customer.id = {any_text()};
    customer.key_hashes = {any_text(), any_text()};
    customer.allowances = {{.model = {any_text()}, .versions = {{any_text()}}}};
    change.upserts.emplace_back(customer);
    change.removals.push_back({.kind = catalogue::entry_kind::model, .id = any_text()});
  }
  return change;
}

instance::envelope any_envelope() {
  instance::envelope envelope;
  envelope.from = {any_text()};
  operators::forwarded_request forwarded;
  forwarded.origin = {any_text()};
  operators::apply_change apply;
  apply.change = any_change();
  forwarded.request = apply;
  endpoints::forwarded_announcement announced;
  announced.announcement.endpoint = {any_text()};
  announced.announcement.versions = {{.model = {any_text()}, .version = {any_text()}}};
  distribution::update update;
  update.changes = {any_change(), any_change()};
  switch (*rc::gen::inRange(0, 3)) {
  case 0:
    envelope.message = operators::message{forwarded};
    break;
  case 1:
    envelope.message = endpoints::message{.full = {announced}};
    break;
  default:
    envelope.message = distribution::message{update};
  }
  return envelope;
}

RC_GTEST_PROP(codec, reads_back_what_it_wrote, ()) {
  auto const bytes = instance::encode(any_envelope());
  auto const decoded = instance::decode(bytes);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(instance::encode(*decoded) == bytes);
}

RC_GTEST_PROP(codec, refuses_every_torn_message, ()) {
  auto const bytes = instance::encode(any_envelope());
  auto const size = *rc::gen::inRange<std::size_t>(0, bytes.size());
  RC_ASSERT(!instance::decode(std::string_view(bytes).substr(0, size)).has_value());
}

RC_GTEST_PROP(codec, refuses_bytes_behind_a_message, ()) {
  auto const bytes = instance::encode(any_envelope()) + any_text() + "x";
  RC_ASSERT(!instance::decode(bytes).has_value());
}

RC_GTEST_PROP(codec, refuses_numbers_that_name_no_enumerator, (std::uint8_t number)) {
  auto const bytes = base::encode(number);
  RC_ASSERT(base::decode<catalogue::standing>(bytes).has_value() == (number <= 2));
  RC_ASSERT(base::decode<catalogue::change_verdict>(bytes).has_value() ==
            (number <= static_cast<unsigned>(catalogue::change_verdict::illegal_rollout)));
  catalogue::version version;
  version.standing = static_cast<catalogue::standing>(number);
  distribution::update update;
  update.changes.emplace_back().upserts.emplace_back(version);
  instance::envelope const envelope{.from = {"a1"}, .message = distribution::message{update}};
  RC_ASSERT(instance::decode(instance::encode(envelope)).has_value() == (number <= 2));
}

RC_GTEST_PROP(codec, survives_random_bytes, (std::string const& bytes)) {
  check_decoders(bytes);
  // Bytes that claim the right byte order come further into the decoders.
  check_decoders("\x01" + bytes);
}

RC_GTEST_PROP(codec, survives_mutated_messages, ()) {
  auto bytes = instance::encode(any_envelope());
  for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
    auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
  }
  check_decoders(bytes);
}

/// Eight bytes of ones anywhere read as a huge length wherever a length is expected.
RC_GTEST_PROP(codec, allocates_nothing_for_a_hostile_length, ()) {
  auto bytes = instance::encode(any_envelope());
  auto const at = *rc::gen::inRange<std::size_t>(1, bytes.size() - 8);
  auto const ones = *rc::gen::inRange<std::size_t>(3, 9);
  bytes.replace(at, ones, ones, '\xff');
  bytes.replace(at + ones, 8 - std::min<std::size_t>(ones, 8), 8 - std::min<std::size_t>(ones, 8),
                '\0');
  check_decoders(bytes);
}

} // namespace

} // namespace catkinlanding
