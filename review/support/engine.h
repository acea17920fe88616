#pragma once

#include <atomic>
#include <functional>
#include <thread>

#include "trial.h"

namespace review {

/// A request as an engine received it.
struct received {
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// An engine as the pages describe it. It answers a request with its seal; where `events` isn't 0,
/// with a stream of so many events, or those after `Last-Event-Id`.
class engine {
public:
  struct options {
    std::string id;
    std::string ip;
    int port = 0;
    std::string service;
    std::string version = "v1";
    std::string zone = "northbridge";
    int events = 0;
    milliseconds event_gap{150};
    milliseconds work{10};
  };

  engine(options options, record& lines);
  engine(engine const&) = delete;
  engine& operator=(engine const&) = delete;
  ~engine();

  /// The body of a heartbeat; each has the next number.
  [[nodiscard]] std::string heartbeat(std::string const& state = "ready");
  [[nodiscard]] std::string const& id() const { return m_options.id; }
  [[nodiscard]] int executed() const { return m_executed; }
  /// The attempt ids of the requests that ran, in order.
  [[nodiscard]] std::vector<std::string> executed_ids() const;
  /// This many of a hundred requests fail with an answer of the engine.
  void fail_percent(int percent) { m_fail_percent = percent; }

private:
  void accept();
  void serve(int socket);
  [[nodiscard]] bool answer(int socket, received const& request);
  [[nodiscard]] bool stream(int socket, received const& request, std::string const& head);

  options m_options;
  record& m_lines;
  int m_listener = -1;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<int> m_executed = 0;
  std::atomic<int> m_fail_percent = 0;
  std::atomic<int> m_sequence = 0;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_ids;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/// Sends the heartbeats of engines to one node after another until it is destroyed.
class heartbeats {
public:
  heartbeats(std::vector<engine*> engines, std::vector<std::string> nodes, deployment& deployment);
  heartbeats(heartbeats const&) = delete;
  heartbeats& operator=(heartbeats const&) = delete;
  ~heartbeats();

private:
  void run(engine& engine, std::size_t first);

  std::vector<std::string> m_nodes;
  deployment& m_deployment;
  std::atomic<bool> m_is_stopping = false;
  std::vector<std::thread> m_threads;
};

} // namespace review
