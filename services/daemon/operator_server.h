#pragma once

#include <libraries/operators/gateway.h>
#include <libraries/resources/plan.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace catkinlanding::daemon {

/// HTTP server for the commands of `catkinctl`. Each connection carries one command, and the bodies
/// are in the format of libraries/operators/codec.h.
class operator_server {
public:
  using handler = std::function<void(operators::command command)>;

  operator_server(boost::asio::io_context& context, boost::asio::ip::tcp::acceptor acceptor,
                  resources::call_plan const& bounds, handler on_command);
  ~operator_server();
  operator_server(operator_server const&) = delete;
  operator_server& operator=(operator_server const&) = delete;

  void answer(operators::answer const& answer);

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::daemon
