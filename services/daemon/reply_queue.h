#pragma once

#include <libraries/requests/effect.h>
#include <services/daemon/connections/open_connections.h>
#include <services/daemon/coroutine.h>

#include <deque>
#include <string>
#include <variant>

namespace catkinlanding::daemon {

/// A part of the answer to a caller, as the reducer puts it out.
using caller_reply = std::variant<requests::reply_head, requests::reply_data, requests::reply_end,
                                  requests::reply_failure>;

/// The replies that are queued for one caller.
struct reply_queue {
  reply_queue(boost::asio::io_context& context, connections::open_connections::entry& connection)
      : connection(connection), wakeup(context) {
    wakeup.expires_at(steady_timer::time_point::max());
  }

  void push(caller_reply reply) {
    if (auto const* data = std::get_if<requests::reply_data>(&reply)) {
      waiting_bytes += data->bytes.size();
    }
    replies.push_back(std::move(reply));
    wakeup.cancel();
  }

  /// Takes memory for so many bytes more of the answer. Returns false if there is none.
  [[nodiscard]] bool try_hold(std::size_t bytes) const {
    return connection.try_hold_answer(waiting_bytes + collected_bytes + bytes);
  }

  [[nodiscard]] caller_reply pop() {
    auto reply = std::move(replies.front());
    replies.pop_front();
    if (auto const* data = std::get_if<requests::reply_data>(&reply)) {
      waiting_bytes -= data->bytes.size();
    }
    return reply;
  }

  /// Drops the queued replies and ends the answer without its last chunk, so that the client
  /// detects that it is incomplete.
  void abort_answer(requests::request_number number) {
    is_aborted = true;
    replies.clear();
    waiting_bytes = 0;
    push(requests::reply_failure{.number = number, .failure = {}, .is_answer_started = true});
  }

  /// The caller's connection, which outlives the queue.
  connections::open_connections::entry& connection;
  std::deque<caller_reply> replies;
  std::size_t waiting_bytes = 0;
  /// Bytes of a whole answer that were taken from the queue and wait for the rest.
  std::size_t collected_bytes = 0;
  /// Whether the answer is streamed, so that data accumulates here if the caller reads slowly.
  bool is_stream = false;
  bool is_aborted = false;
  steady_timer wakeup;
};

} // namespace catkinlanding::daemon
