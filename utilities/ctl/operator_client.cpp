#include <libraries/operators/codec.h>
#include <utilities/ctl/operator_client.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <thread>

namespace catkinlanding::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::size_t max_response_bytes = 256 * 1024 * 1024;

constexpr int max_rounds = 3;
constexpr std::chrono::milliseconds delay_between_rounds{500};
constexpr std::chrono::seconds connect_timeout{2};
/// Must exceed the time for which an instance waits for the outcome of a command.
constexpr std::chrono::seconds response_timeout{12};
constexpr auto completion = asio::as_tuple(asio::use_awaitable);

using outcome = tl::expected<operators::reply, client_error>;

/// Performs one HTTP exchange. Timeouts on connecting and on the response let the client go on to
/// the next instance if this one hangs or is partitioned without closing the connection.
asio::awaitable<outcome> exchange(asio::io_context& context, base::address const& instance,
                                  operators::request const& request) {
  boost::system::error_code invalid;
  auto const ip = asio::ip::make_address(instance.ip, invalid);
  if (invalid) {
    co_return tl::unexpected(client_error::unreachable);
  }
  beast::tcp_stream stream(context);
  stream.expires_after(connect_timeout);
  asio::ip::tcp::endpoint const endpoint{ip, instance.port};
  auto const [connect_error] = co_await stream.async_connect(endpoint, completion);
  if (connect_error) {
    co_return tl::unexpected(client_error::unreachable);
  }
  http::request<http::string_body> message{http::verb::post, operators::command_path, 11};
  message.set(http::field::host, instance.ip);
  message.body() = operators::encode(request);
  message.prepare_payload();
  stream.expires_after(response_timeout);
  auto const [write_error, written] = co_await http::async_write(stream, message, completion);
  if (write_error) {
    co_return tl::unexpected(client_error::response_lost);
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(max_response_bytes);
  auto const [error, size] = co_await http::async_read(stream, buffer, parser, completion);
  if (error) {
    co_return tl::unexpected(client_error::response_lost);
  }
  auto reply = operators::decode_reply(parser.get().body());
  if (!reply) {
    co_return tl::unexpected(client_error::malformed_response);
  }
  co_return std::move(*reply);
}

/// Whether the reply guarantees that this attempt had no effect.
bool is_without_effect(operators::reply const& reply) {
  auto const* refusal = std::get_if<operators::refusal>(&reply);
  return refusal != nullptr && refusal->kind == operators::refusal_kind::no_leader;
}

/// Whether another instance, or the same one later, may give a more definite reply.
bool is_retryable(operators::reply const& reply) {
  auto const* refusal = std::get_if<operators::refusal>(&reply);
  return refusal != nullptr && (refusal->kind == operators::refusal_kind::no_leader ||
                                refusal->kind == operators::refusal_kind::outcome_unknown);
}

} // namespace

tl::expected<operators::reply, client_error>
send_request(std::vector<base::address> const& instances, operators::request const& request) {
  // Draining and founding concern one instance at one moment, so they are sent only once.
  bool const allows_retry = !std::holds_alternative<operators::drain>(request) &&
                            !std::holds_alternative<operators::found_deployment>(request);
  tl::expected<operators::reply, client_error> last = tl::unexpected(client_error::unreachable);
  bool may_have_taken_effect = false;
  bool is_reachable = false;
  for (int round = 0; round < max_rounds; ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(delay_between_rounds);
    }
    for (auto const& instance : instances) {
      last = send_request(instance, request);
      bool const has_final_reply = last && !is_retryable(*last);
      if (has_final_reply || !allows_retry) {
        return last;
      }
      bool const is_unreachable = !last && last.error() == client_error::unreachable;
      is_reachable |= !is_unreachable;
      may_have_taken_effect |= !is_unreachable && !(last && is_without_effect(*last));
    }
    if (!is_reachable) {
      return last;
    }
  }
  // If the last attempt had no effect, an earlier one may still have had one.
  bool const last_rules_out_effect = last ? is_without_effect(*last) : true;
  if (may_have_taken_effect && last_rules_out_effect) {
    return tl::unexpected(client_error::response_lost);
  }
  return last;
}

tl::expected<operators::reply, client_error> send_request(base::address const& instance,
                                                          operators::request const& request) {
  asio::io_context context;
  outcome result = tl::unexpected(client_error::response_lost);
  asio::co_spawn(context, exchange(context, instance, request),
                 [&](std::exception_ptr const& thrown, outcome received) {
                   if (!thrown) {
                     result = std::move(received);
                   }
                 });
  context.run();
  return result;
}

} // namespace catkinlanding::ctl
