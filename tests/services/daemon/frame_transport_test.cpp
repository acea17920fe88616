#include <services/daemon/frame_transport.h>

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <stdexcept>

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

// Guards against an instance that hears nothing any more because one message could not be
// processed.
TEST(frame_transports, receive_further_frames_after_one_whose_handler_throws) {
  using boost::asio::ip::tcp;
  using boost::asio::ip::udp;
  boost::asio::io_context context;
  auto const address = boost::asio::ip::make_address("127.0.0.1");
  frame_transport::sockets sockets{udp::socket(context, {address, 0}),
                                   tcp::acceptor(context, tcp::endpoint{address, 0})};
  auto const target = sockets.datagrams.local_endpoint();
  std::vector<std::string> received;
  frame_transport const transport(
      context, std::move(sockets), {},
      [&](std::string_view bytes, frame_transport::sender_callback const& /*report_sender*/) {
        received.emplace_back(bytes);
        if (received.size() == 1) {
          throw std::runtime_error("not processed");
        }
        context.stop();
        return true;
      });
  udp::socket sender(context, udp::endpoint{address, 0});
  sender.send_to(boost::asio::buffer(std::string("first")), target);
  sender.send_to(boost::asio::buffer(std::string("second")), target);
  constexpr std::chrono::seconds give_up_time{10};
  context.run_for(give_up_time);
  EXPECT_EQ(received, (std::vector<std::string>{"first", "second"}));
}

} // namespace

} // namespace catkinlanding::daemon
