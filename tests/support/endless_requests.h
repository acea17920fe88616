#pragma once

#include <tests/support/raw_connection.h>

#include <memory>
#include <string>
#include <vector>

/// Misbehaving callers for tests of the memory and the connections of real processes.
namespace catkinlanding::testing {

/// A request that never ends: after its beginning, the same bytes follow again and again.
struct endless_request {
  std::string name;
  std::string beginning;
  std::string repeated;
};

std::ostream& operator<<(std::ostream& out, endless_request const& request);

/// Requests to this path whose framing or header has no end. `headers` are complete lines.
[[nodiscard]] std::vector<endless_request> endless_requests(std::string const& path,
                                                            std::string const& headers = {});

/// Connections on which the same endless request is sent.
class endless_callers {
public:
  endless_callers(int port, std::string const& ip, std::size_t number);

  /// Sends up to this many bytes on each connection, in turn, and less on one that is closed or
  /// takes nothing for a while. Returns the largest number of bytes that one connection took.
  std::size_t send(endless_request const& request, std::size_t bytes_each);

private:
  std::vector<std::unique_ptr<raw_connection>> m_connections;
};

} // namespace catkinlanding::testing
