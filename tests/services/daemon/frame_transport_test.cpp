#include <services/daemon/frame_transport.h>

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace catkinlanding::daemon {

namespace {

// Guards against a stalled connection after a network partition: when a zone is cut off while a
// document is being sent, the kernel retransmits with exponential backoff, and all later frames
// wait behind the retransmission. TCP_USER_TIMEOUT bounds this.
TEST(frame_transports, close_connections_without_acknowledgements) {
  boost::asio::io_context context;
  tcp_socket socket(context, boost::asio::ip::tcp::v4());
  set_peer_socket_options(socket);
  int milliseconds = 0;
  socklen_t size = sizeof(milliseconds);
  ASSERT_EQ(
      ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, &size), 0);
  EXPECT_GT(milliseconds, 0);
  // A changed document must be in force within 2 s after a network partition ends.
  EXPECT_LE(milliseconds, 2000);
}

} // namespace

} // namespace catkinlanding::daemon
