#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace catkinlanding::testing {

/// A TCP connection on loopback that sends arbitrary bytes, such as malformed HTTP.
class raw_connection {
public:
  explicit raw_connection(int port, std::string const& ip = "127.0.0.1");
  raw_connection(raw_connection const&) = delete;
  raw_connection& operator=(raw_connection const&) = delete;
  ~raw_connection();

  /// Returns false if not all bytes could be sent.
  bool send(std::string_view bytes) const;
  /// Sends until the peer takes nothing for so long, or has closed the connection. Returns the
  /// number of bytes that were sent.
  [[nodiscard]] std::size_t send_within(std::string_view bytes,
                                        std::chrono::milliseconds max_pause) const;
  /// Closes the sending direction of the connection.
  void finish_sending() const;
  /// Reads until the text occurs, the peer closes the connection or the timeout expires. With an
  /// empty text it reads until the close or the timeout. Returns everything read.
  [[nodiscard]] std::string read_until(std::string_view text,
                                       std::chrono::milliseconds timeout) const;
  /// Whether the peer has closed the connection. Discards received bytes.
  [[nodiscard]] bool is_closed() const;

private:
  int m_socket = -1;
};

/// Sends one datagram to a port on loopback.
void send_datagram(int port, std::string_view bytes, std::string const& ip = "127.0.0.1");

} // namespace catkinlanding::testing
