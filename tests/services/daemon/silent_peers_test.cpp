#include <services/daemon/frame_transport.h>

#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace catkinlanding::daemon {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr std::chrono::seconds give_up_time{10};
/// As many connections as an instance takes from the others.
constexpr std::size_t max_connections = 1024;
constexpr std::size_t large_frame = 256UL * 1024;

/// A frame as instances send it.
std::string make_frame(std::size_t size, char mark) {
  std::array<unsigned char, sizeof(std::uint32_t)> length{};
  boost::endian::store_little_u32(length.data(), static_cast<std::uint32_t>(size));
  return std::string(length.begin(), length.end()) + std::string(size, mark);
}

/// A transport, and the connections that other instances open to it.
class silent_peers : public ::testing::Test {
protected:
  void SetUp() override {
    // Both ends of each connection are in this process.
    constexpr rlim_t needed_descriptors = 4 * max_connections;
    rlimit limit{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &limit), 0);
    limit.rlim_cur = std::max(limit.rlim_cur, std::min(limit.rlim_max, needed_descriptors));
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &limit), 0);
    ASSERT_GE(limit.rlim_cur, needed_descriptors);
    frame_transport::sockets sockets{udp::socket(m_context, {m_address, 0}),
                                     tcp::acceptor(m_context, tcp::endpoint{m_address, 0})};
    m_target = sockets.acceptor.local_endpoint();
    m_transport = std::make_unique<frame_transport>(
        m_context, std::move(sockets), std::map<base::instance_id, base::address>{},
        [this](std::string_view bytes, frame_transport::sender_callback const&) {
          m_received.push_back(bytes.front());
          return true;
        });
  }

  /// Runs the transport until the condition holds. Returns whether it does.
  bool run_until(std::function<bool()> const& condition) {
    auto const give_up_at = std::chrono::steady_clock::now() + give_up_time;
    while (!condition() && std::chrono::steady_clock::now() < give_up_at) {
      m_context.restart();
      m_context.poll();
    }
    return condition();
  }

  /// Opens a connection from this address of the loopback network.
  tcp::socket connect_from(char const* source) {
    tcp::socket socket(m_context);
    socket.open(tcp::v4());
    socket.bind({boost::asio::ip::make_address(source), 0});
    socket.connect(m_target);
    m_context.restart();
    m_context.poll();
    return socket;
  }

  void connect_all_from(char const* source, std::size_t number) {
    for (std::size_t i = 0; i < number; ++i) {
      m_silent.push_back(connect_from(source));
    }
  }

  /// Whether the transport receives a frame over the connection.
  bool receives(tcp::socket& socket, char mark) {
    auto const frame = std::make_shared<std::string>(make_frame(large_frame, mark));
    boost::asio::async_write(socket, boost::asio::buffer(*frame),
                             [frame](boost::system::error_code, std::size_t) {});
    return run_until(
        [&] { return std::find(m_received.begin(), m_received.end(), mark) != m_received.end(); });
  }

  boost::asio::io_context m_context;
  boost::asio::ip::address m_address = boost::asio::ip::make_address("127.0.0.1");
  tcp::endpoint m_target;
  std::vector<tcp::socket> m_silent;
  std::vector<char> m_received;
  std::unique_ptr<frame_transport> m_transport;
};

// Guards against an instance that gets no large message any more, as connections whose peers are
// gone without a word take all places.
TEST_F(silent_peers, leave_room_for_a_new_one) {
  connect_all_from("127.0.0.1", max_connections);
  auto sound = connect_from("127.0.0.2");
  EXPECT_TRUE(receives(sound, 'a'));
}

// Guards against a broken peer whose connections push out those of others.
TEST_F(silent_peers, push_out_no_connection_that_is_being_read_or_has_few_beside_it) {
  auto idle = connect_from("127.0.0.2");
  auto half_read = connect_from("127.0.0.2");
  auto const frame = make_frame(large_frame, 'b');
  boost::asio::write(half_read, boost::asio::buffer(frame, large_frame / 2));
  connect_all_from("127.0.0.1", 2 * max_connections);
  boost::asio::write(half_read, boost::asio::buffer(frame) + large_frame / 2);
  EXPECT_TRUE(run_until([&] { return m_received == std::vector<char>{'b'}; }));
  EXPECT_TRUE(receives(idle, 'c'));
}

// Guards against a broken peer that keeps all places with frames that it never ends.
TEST_F(silent_peers, leave_room_if_each_has_sent_a_part_of_a_frame) {
  // So small that all of them fit into the memory for frames.
  constexpr std::size_t frame_size = 64UL * 1024;
  auto const frame = make_frame(frame_size, 'd');
  for (std::size_t i = 0; i < max_connections; ++i) {
    m_silent.push_back(connect_from("127.0.0.1"));
    boost::asio::write(m_silent.back(), boost::asio::buffer(frame, frame_size / 2));
  }
  auto sound = connect_from("127.0.0.2");
  EXPECT_TRUE(receives(sound, 'e'));
}

} // namespace

} // namespace catkinlanding::daemon
