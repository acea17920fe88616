#pragma once

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// What the scripts of the review share: the record, HTTP over loopback, and the project's program
/// as separate processes.
namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// How a case ended, as the exit code of its script.
enum class verdict { held = 0, broken = 1, could_not_run = 2 };

/// Writes time-stamped lines to `record.txt` and to standard output.
class record {
public:
  explicit record(std::filesystem::path const& path);

  void write(std::string const& line);
  [[nodiscard]] double seconds() const;

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  clock::time_point m_began = clock::now();
};

struct answer {
  /// Zero if no complete answer was received.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// A port that no one uses on any of the addresses that a case takes.
[[nodiscard]] int free_port();

/// Connects to a loopback address. Returns -1 if that is refused.
[[nodiscard]] int connect_to(std::string const& ip, int port, milliseconds patience);

bool send_all(int socket, std::string const& bytes);

/// Reads one answer from the socket, until `until` at the latest.
[[nodiscard]] answer read_answer(int socket, clock::time_point until);

/// Sends one request on a connection of its own and reads the answer.
[[nodiscard]] answer exchange(std::string const& ip, int port, std::string const& method,
                              std::string const& path, std::string const& body,
                              std::string const& header_lines, milliseconds patience);

/// Reads until the bytes end with the text, the connection ends or the time is over.
[[nodiscard]] std::string read_to_end(int socket, std::string const& text, clock::time_point until);

/// The project's program on several loopback addresses, with one temporary folder.
class deployment {
public:
  struct node {
    std::string name;
    std::string role;
    std::string ip;
    std::string zone;
  };

  /// The first three nodes with the role `control` are the seeds.
  deployment(std::vector<node> nodes, record& lines);
  deployment(deployment const&) = delete;
  deployment& operator=(deployment const&) = delete;
  /// Kills what still runs and removes the folder.
  ~deployment();

  /// Starts the node's process with the command of the deploy file. To be called by the main
  /// thread, as the process ends with the thread that started it.
  [[nodiscard]] bool start(std::string const& name, bool is_first_start);
  void kill(std::string const& name);
  void send_signal(std::string const& name, int signal);
  /// Whether the process has not ended by itself.
  [[nodiscard]] bool is_running(std::string const& name);
  /// Empties the data folder of a node that doesn't run.
  void wipe(std::string const& name);
  /// Appends the last lines of each log to the record; those with this text, if there is one.
  void write_logs(int lines_each, std::string const& text = {});

  /// A call to the control role of a node, as an operator or an engine makes it: a redirect is
  /// followed twice, and the patience is one second.
  [[nodiscard]] answer call(std::string const& name, std::string const& method,
                            std::string const& path, std::string const& body = {});
  [[nodiscard]] bool is_ready(std::string const& name);

  [[nodiscard]] std::string const& ip_of(std::string const& name) const;
  [[nodiscard]] int caller_port() const { return m_caller_port; }

private:
  [[nodiscard]] node const& find(std::string const& name) const;
  void write_settings(node const& node, bool is_first_start) const;

  std::vector<node> m_nodes;
  record& m_lines;
  std::filesystem::path m_folder;
  int m_peer_port = free_port();
  int m_caller_port = free_port();
  int m_ready_port = free_port();
  int m_call_port = free_port();
  std::map<std::string, int> m_ids;
};

/// Waits for at most 20 s.
[[nodiscard]] bool eventually(std::function<bool()> const& is_true);

/// Sends the configuration to one node after another until it is accepted.
[[nodiscard]] bool put_until_accepted(deployment& deployment, std::vector<std::string> const& nodes,
                                      std::string const& document, record& lines);

/// Whether the disruption is wanted: `TROUBLE` isn't 0.
[[nodiscard]] bool has_trouble();

} // namespace review
