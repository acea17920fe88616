#include <libraries/proxy/event_stream.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

TEST(event_streams, forward_only_complete_events) {
  event_stream stream;
  EXPECT_EQ(stream.take("id: 1\ndata: a"), "");
  EXPECT_EQ(stream.take("b\n\nid: 2\nda"), "id: 1\ndata: ab\n\n");
  EXPECT_EQ(stream.last_id(), "1");
  EXPECT_EQ(stream.partial_bytes(), 8U);
  EXPECT_EQ(stream.take("ta: c\n\n"), "id: 2\ndata: c\n\n");
  EXPECT_EQ(stream.last_id(), "2");
  EXPECT_EQ(stream.events(), 2U);
}

TEST(event_streams, discard_the_partial_event_of_a_broken_stream) {
  event_stream stream;
  static_cast<void>(stream.take("id: 1\n\nid: 2\nda"));
  stream.drop_partial();
  EXPECT_EQ(stream.last_id(), "1");
  EXPECT_EQ(stream.take("id: 2\ndata: c\n\n"), "id: 2\ndata: c\n\n");
}

TEST(event_streams, accept_crlf_line_endings) {
  event_stream stream;
  EXPECT_EQ(stream.take("id:3\r\ndata: a\r\n\r\nid"), "id:3\r\ndata: a\r\n\r\n");
  EXPECT_EQ(stream.last_id(), "3");
}

TEST(event_streams, forward_several_events_at_once) {
  event_stream stream;
  static_cast<void>(stream.take("id: 1\n\nid: 2\n\nid: 3\n\n"));
  EXPECT_EQ(stream.last_id(), "3");
  EXPECT_EQ(stream.events(), 3U);
}

} // namespace

} // namespace catkinlanding::proxy
