#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace catkinlanding::testing {

/// A TCP connection on loopback over which a test sends whatever bytes it likes.
class raw_connection {
public:
  explicit raw_connection(int port, std::string const& ip = "127.0.0.1");
  raw_connection(raw_connection const&) = delete;
  raw_connection& operator=(raw_connection const&) = delete;
  ~raw_connection();

  /// Returns false when the other side does not take all of it.
  bool send(std::string_view bytes) const;
  void finish_sending() const;
  /// Reads until the other side closes, the text occurs or the time is up.
  [[nodiscard]] std::string read_until(std::string_view text,
                                       std::chrono::milliseconds timeout) const;
  /// Whether the other side has closed the connection. Drops what it sent before.
  [[nodiscard]] bool is_closed() const;

private:
  int m_socket = -1;
};

/// Sends one datagram to a port on loopback.
void send_datagram(int port, std::string_view bytes, std::string const& ip = "127.0.0.1");

} // namespace catkinlanding::testing
