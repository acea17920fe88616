#include <utilities/load/generator.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <popt.h>
#include <string_view>

namespace catkinlanding::load {

namespace {

constexpr int exit_usage = 2;
constexpr int exit_failures = 1;

bool parse_target(std::string_view text, base::address& out) {
  auto const colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  out.ip = text.substr(0, colon);
  auto const port = text.substr(colon + 1);
  auto const parsed = std::from_chars(port.data(), port.data() + port.size(), out.port);
  return parsed.ec == std::errc{} && parsed.ptr == port.data() + port.size();
}

double microseconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

void print(result& result) {
  auto const seconds = std::chrono::duration<double>(result.elapsed).count();
  std::printf("requests %zu failures %llu per_second %.0f", result.total_latency.size(),
              static_cast<unsigned long long>(result.failures),
              static_cast<double>(result.total_latency.size()) / seconds);
  std::printf(" first_byte_p50_us %.0f first_byte_p99_us %.0f",
              microseconds(result.first_byte_latency.percentile(0.5)),
              microseconds(result.first_byte_latency.percentile(0.99)));
  std::printf(" total_p50_us %.0f total_p99_us %.0f total_max_us %.0f\n",
              microseconds(result.total_latency.percentile(0.5)),
              microseconds(result.total_latency.percentile(0.99)),
              microseconds(result.total_latency.percentile(1.0)));
}

int run_program(int argc, char const** argv) {
  options requested_options;
  char* target = nullptr;
  char* key = nullptr;
  char* path = nullptr;
  char* body = nullptr;
  int seconds = 0;
  std::array<poptOption, 10> const table{{
      {"target", 't', POPT_ARG_STRING, static_cast<void*>(&target), 0, "Server", "IP:PORT"},
      {"key", 'k', POPT_ARG_STRING, static_cast<void*>(&key), 0, "Customer key", "KEY"},
      {"path", 'p', POPT_ARG_STRING, static_cast<void*>(&path), 0, "Path to post to", "PATH"},
      {"body", 'b', POPT_ARG_STRING, static_cast<void*>(&body), 0, "Body of each request", "JSON"},
      {"connections", 'c', POPT_ARG_INT, static_cast<void*>(&requested_options.connections), 0,
       "Connections", "N"},
      {"rate", 'r', POPT_ARG_INT, static_cast<void*>(&requested_options.rate), 0,
       "Requests a second; 0 sends each after the last answer", "N"},
      {"requests", 'n', POPT_ARG_INT, static_cast<void*>(&requested_options.requests), 0,
       "Requests to send at most", "N"},
      {"seconds", 's', POPT_ARG_INT, static_cast<void*>(&seconds), 0,
       "Length of the run; 10, or a day where the requests are bounded", "N"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context = poptGetContext("catkinlanding-load", argc, argv, table.data(), 0);
  int const result = poptGetNextOpt(context);
  poptFreeContext(context);
  bool const is_usable = result == -1 && target != nullptr &&
                         parse_target(target, requested_options.target) &&
                         requested_options.connections > 0 && requested_options.rate >= 0 &&
                         requested_options.requests >= 0 && seconds >= 0;
  if (!is_usable) {
    std::fputs("--target=IP:PORT is needed, and positive numbers\n", stderr);
    return exit_usage;
  }
  requested_options.key = key == nullptr ? "" : key;
  requested_options.path = path == nullptr ? requested_options.path : path;
  requested_options.body = body == nullptr ? R"({"model":"hat","messages":[]})" : body;
  if (seconds > 0) {
    requested_options.duration = std::chrono::seconds(seconds);
  } else if (requested_options.requests > 0) {
    requested_options.duration = std::chrono::hours(24);
  }
  auto measured = run(requested_options);
  print(measured);
  return measured.failures == 0 ? EXIT_SUCCESS : exit_failures;
}

} // namespace

} // namespace catkinlanding::load

int main(int argc, char const** argv) {
  return catkinlanding::load::run_program(argc, argv);
}
