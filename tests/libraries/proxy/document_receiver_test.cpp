#include <libraries/proxy/document_receiver.h>
#include <libraries/proxy/document_source.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

document large_document(std::uint64_t revision) {
  document made;
  made.revision = revision;
  constexpr std::size_t routes = 4000;
  made.routes.resize(routes);
  for (std::size_t i = 0; i < routes; ++i) {
    made.routes[i].name = "route-" + std::to_string(revision) + "-" + std::to_string(i);
  }
  return made;
}

class document_receivers : public ::testing::Test {
protected:
  /// Requests and adds parts until the document is complete or no part comes.
  std::optional<document> complete(base::monotonic_time now = start) {
    while (auto const request = m_receiver.request_due(now)) {
      auto const part = m_source.part(*request);
      if (!part) {
        return std::nullopt;
      }
      if (auto received = m_receiver.add(*part)) {
        return received;
      }
    }
    return std::nullopt;
  }

  document_source m_source;
  document_receiver m_receiver{{}};
};

TEST_F(document_receivers, assemble_the_document_that_was_offered) {
  m_source.offer(large_document(3));
  ASSERT_FALSE(m_source.is_small());
  m_receiver.note_offer(3);
  EXPECT_EQ(complete(), large_document(3));
  EXPECT_FALSE(m_receiver.request_due(start));
}

// Guards against a transfer that stops for good when one request or part is lost.
TEST_F(document_receivers, request_a_lost_part_again) {
  m_source.offer(large_document(3));
  m_receiver.note_offer(3);
  auto const first = m_receiver.request_due(start);
  ASSERT_TRUE(first);
  EXPECT_FALSE(m_receiver.request_due(start + 100ms));
  auto const again = m_receiver.request_due(start + 500ms);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->offset, first->offset);
  auto const part = m_source.part(*again);
  ASSERT_FALSE(m_receiver.add(*part));
  // The first copy arrives late.
  ASSERT_FALSE(m_receiver.add(*part));
  EXPECT_EQ(complete(start + 600ms), large_document(3));
}

// Guards against instances that get no document at all while documents change in quick succession.
TEST_F(document_receivers, complete_a_transfer_before_a_newer_document) {
  m_source.offer(large_document(3));
  m_receiver.note_offer(3);
  ASSERT_FALSE(m_receiver.add(*m_source.part(*m_receiver.request_due(start))));
  m_source.offer(large_document(4));
  m_receiver.note_offer(4);
  EXPECT_EQ(complete(), large_document(3));
  m_receiver.note_held(3);
  EXPECT_EQ(complete(), large_document(4));
}

TEST_F(document_receivers, begin_anew_if_the_leader_has_only_a_newer_document) {
  m_source.offer(large_document(3));
  m_receiver.note_offer(3);
  ASSERT_FALSE(m_receiver.add(*m_source.part(*m_receiver.request_due(start))));
  m_source = {};
  m_source.offer(large_document(9));
  EXPECT_EQ(complete(), large_document(9));
}

TEST_F(document_receivers, begin_anew_if_the_parts_do_not_fit_together) {
  m_source.offer(large_document(3));
  m_receiver.note_offer(3);
  auto part = *m_source.part(*m_receiver.request_due(start));
  part.bytes.assign(part.bytes.size(), '\xff');
  ASSERT_FALSE(m_receiver.add(part));
  ASSERT_FALSE(complete());
  EXPECT_EQ(complete(start + 1s), large_document(3));
}

TEST_F(document_receivers, ignore_parts_that_they_did_not_ask_for) {
  document_part part{.revision = 3, .total_bytes = 10, .offset = 0, .bytes = "forged"};
  EXPECT_FALSE(m_receiver.add(part));
  m_receiver.note_offer(3);
  part.total_bytes = std::uint64_t{1} << 40U;
  EXPECT_FALSE(m_receiver.add(part));
  ASSERT_TRUE(m_receiver.request_due(start));
}

} // namespace

} // namespace catkinlanding::proxy
