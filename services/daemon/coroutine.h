#pragma once

#include <services/daemon/clock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <spdlog/spdlog.h>

#include <chrono>
#include <exception>

/// Types and helpers for the coroutines that do the process's input and output.
namespace catkinlanding::daemon {

/// All coroutines run on the process's single io_context. Its concrete executor type avoids the
/// allocations of the type-erased executor at each step of a coroutine.
using executor = boost::asio::io_context::executor_type;
template<class Value>
using awaitable = boost::asio::awaitable<Value, executor>;
using tcp_stream = boost::beast::basic_stream<boost::asio::ip::tcp, executor>;
using tcp_socket = tcp_stream::socket_type;
/// Takes the time points of `now`.
using steady_timer =
    boost::asio::basic_waitable_timer<boot_clock, boost::asio::wait_traits<boot_clock>, executor>;

/// Completion token with which operations return their error code instead of throwing it.
inline constexpr auto completion = boost::asio::as_tuple(boost::asio::use_awaitable_t<executor>{});

/// Starts a detached coroutine. An exception is logged and ends only this coroutine and the
/// connection that it serves. `part` is the component's name in the log.
inline void spawn(boost::asio::io_context& context, char const* part, awaitable<void> coroutine) {
  boost::asio::co_spawn(context, std::move(coroutine), [part](std::exception_ptr const& thrown) {
    if (!thrown) {
      return;
    }
    try {
      std::rethrow_exception(thrown);
    } catch (std::exception const& exception) {
      spdlog::error("{}: an unhandled exception closed a connection: {}", part, exception.what());
    }
  });
}

/// Waits after a failed accept or receive, so that a persistent error such as a lack of file
/// descriptors doesn't cause a busy loop.
inline awaitable<void> pause_accepting(boost::asio::io_context& context) {
  constexpr std::chrono::milliseconds pause{50};
  steady_timer timer(context, pause);
  co_await timer.async_wait(completion);
}

} // namespace catkinlanding::daemon
