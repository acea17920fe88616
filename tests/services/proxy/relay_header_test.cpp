#include <services/proxy/relay_header.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

http_request_header header_with(std::string const& value) {
  http_request_header header;
  header.set("Catkinlanding-Relayed", value);
  return header;
}

TEST(relay_headers, hold_the_number_of_endpoints_that_had_the_request) {
  http_request_header header;
  EXPECT_FALSE(take_relay_header(header).has_value());
  add_relay_header(header, 2);
  EXPECT_EQ(take_relay_header(header), 2U);
  // No endpoint receives it.
  EXPECT_FALSE(take_relay_header(header).has_value());
  EXPECT_EQ(std::distance(header.begin(), header.end()), 0);
}

TEST(relay_headers, tell_a_stop_to_the_instance_that_passed_the_request_on) {
  http_response_header answer;
  EXPECT_FALSE(has_stopping_header(answer));
  add_stopping_header(answer);
  EXPECT_TRUE(has_stopping_header(answer));
  EXPECT_TRUE(has_relay_header(header_with("2")));
  EXPECT_FALSE(has_relay_header({}));
}

// A request with a forged or damaged header is sent to no endpoint, as its attempts are unknown.
TEST(relay_headers, that_cannot_be_read_leave_no_attempt) {
  for (auto const* value : {"", "-1", "1x", "99999999999999999999", "4294967295", "two"}) {
    auto header = header_with(value);
    auto const attempts = take_relay_header(header);
    ASSERT_TRUE(attempts.has_value()) << value;
    EXPECT_GT(*attempts, 1'000'000U) << value;
  }
}

} // namespace

} // namespace catkinlanding::proxy
