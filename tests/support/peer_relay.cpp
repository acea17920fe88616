#include <libraries/base/verify.h>
#include <libraries/proxy/settings.h>
#include <tests/support/peer_relay.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>

namespace catkinlanding::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using daemon::awaitable;
using daemon::completion;

namespace {

constexpr std::size_t length_prefix_size = 4;

asio::ip::address address_of(std::string const& ip) {
  return asio::ip::make_address(ip);
}

} // namespace

peer_relay::peer_relay(options options)
    : m_options(std::move(options)),
      m_to_control(make_direction(m_options.control_alias_ip, m_options.entry_alias_ip,
                                  m_options.control_ip)),
      m_to_entry(make_direction(m_options.entry_alias_ip, m_options.control_alias_ip,
                                m_options.entry_ip)) {
  m_to_entry.is_towards_entry = true;
  for (auto* direction : {&m_to_control, &m_to_entry}) {
    daemon::spawn(m_context, "relay", carry_datagrams(*direction));
    daemon::spawn(m_context, "relay", accept_connections(*direction));
  }
  m_thread = std::thread([this] { m_context.run(); });
}

peer_relay::~peer_relay() {
  m_context.stop();
  m_thread.join();
}

peer_relay::direction peer_relay::make_direction(std::string const& ip,
                                                 std::string const& sender_ip,
                                                 std::string const& target_ip) {
  auto const port = static_cast<unsigned short>(m_options.peer_port);
  return {.sender = instance(sender_ip),
          .recipient = instance(target_ip),
          .target = address_of(target_ip),
          .datagrams = udp::socket(m_context, udp::endpoint{address_of(ip), port}),
          .acceptor = {m_context, tcp::endpoint{address_of(ip), port}}};
}

base::instance_id peer_relay::instance(std::string const& ip) const {
  return proxy::instance_at({.ip = ip, .port = static_cast<std::uint16_t>(m_options.peer_port)});
}

std::string peer_relay::rewrite(std::string_view bytes, direction const& direction) const {
  auto envelope = proxy::decode(bytes);
  CATKINLANDING_VERIFY(envelope.has_value());
  envelope->from = direction.sender;
  auto const known_control = instance(m_options.control_alias_ip);
  if (auto* update = std::get_if<proxy::update>(&envelope->message)) {
    update->control_instances = {known_control};
  }
  if (auto* referral = std::get_if<proxy::referral>(&envelope->message)) {
    referral->leader = referral->leader ? std::optional(known_control) : std::nullopt;
  }
  return proxy::encode(*envelope);
}

awaitable<void> peer_relay::carry_datagrams(direction& direction) {
  std::array<char, 64 * 1024> buffer{};
  udp::endpoint sender;
  udp::endpoint const target{direction.target, static_cast<unsigned short>(m_options.peer_port)};
  while (true) {
    auto const [error, size] =
        co_await direction.datagrams.async_receive_from(asio::buffer(buffer), sender, completion);
    if (error) {
      co_return;
    }
    auto const text = rewrite({buffer.data(), size}, direction);
    boost::system::error_code ignored;
    direction.datagrams.send_to(asio::buffer(text), target, 0, ignored);
  }
}

awaitable<void> peer_relay::accept_connections(direction& direction) {
  while (true) {
    auto [error, socket] = co_await direction.acceptor.async_accept(completion);
    if (error) {
      co_return;
    }
    daemon::spawn(m_context, "relay",
                  carry_frames(direction, daemon::tcp_stream(std::move(socket))));
  }
}

awaitable<void> peer_relay::carry_frames(direction& direction, daemon::tcp_stream from) {
  auto const generation = m_generation.load();
  daemon::tcp_stream to(m_context);
  tcp::endpoint const target{direction.target, static_cast<unsigned short>(m_options.peer_port)};
  if (auto const [error] = co_await to.async_connect(target, completion); error) {
    co_return;
  }
  while (true) {
    std::array<unsigned char, length_prefix_size> length{};
    if (auto const [error, size] =
            co_await asio::async_read(from, asio::buffer(length), completion);
        error) {
      co_return;
    }
    std::string bytes(boost::endian::load_little_u32(length.data()), '\0');
    if (auto const [error, size] = co_await asio::async_read(from, asio::buffer(bytes), completion);
        error) {
      co_return;
    }
    if (generation != m_generation) {
      ++m_lost_frames;
      continue;
    }
    if (direction.is_towards_entry) {
      daemon::steady_timer timer(m_context, m_delay.load());
      co_await timer.async_wait(completion);
    }
    auto const text = rewrite(bytes, direction);
    boost::endian::store_little_u32(length.data(), static_cast<std::uint32_t>(text.size()));
    std::array<asio::const_buffer, 2> const parts{asio::buffer(length), asio::buffer(text)};
    if (auto const [error, size] = co_await asio::async_write(to, parts, completion); error) {
      co_return;
    }
  }
}

} // namespace catkinlanding::testing
