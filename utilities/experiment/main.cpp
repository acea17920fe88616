#include <libraries/experiment/simulation.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <popt.h>
#include <string>
#include <vector>

/// Simulates each scenario with each strategy and prints a table row for each pair: the mean over
/// the seeds ± half of the range between the minimum and the maximum.
namespace catkinlanding::experiment {

namespace {

struct column {
  char const* name;
  int decimals;
  double (*value)(result const&);
};

double latency(result const& result, char const* name, double quantile) {
  auto const it = result.classes.find(name);
  return it == result.classes.end() ? 0.0 : it->second.latency_quantile(quantile);
}

double good_share(result const& result, char const* name) {
  auto const it = result.classes.find(name);
  return it == result.classes.end() ? 0.0 : it->second.good_share();
}

double in_time_share(result const& result) {
  double offered = 0.0;
  double in_time = 0.0;
  for (auto const& [name, item] : result.classes) {
    offered += static_cast<double>(item.offered);
    in_time += static_cast<double>(item.in_time);
  }
  return offered == 0.0 ? 0.0 : in_time / offered;
}

constexpr column columns[] = {
    {"cost/good", 0, [](result const& r) { return r.cost_per_good_answer(); }},
    {"good int", 3, [](result const& r) { return good_share(r, "interactive"); }},
    {"good rep", 3, [](result const& r) { return good_share(r, "report"); }},
    {"int p50 s", 2, [](result const& r) { return latency(r, "interactive", 0.5); }},
    {"int p99 s", 2, [](result const& r) { return latency(r, "interactive", 0.99); }},
    {"rep p50 s", 1, [](result const& r) { return latency(r, "report", 0.5); }},
    {"rep p99 s", 1, [](result const& r) { return latency(r, "report", 0.99); }},
    {"refused", 0, [](result const& r) { return static_cast<double>(r.refusals); }},
    {"expired", 0, [](result const& r) { return static_cast<double>(r.expired); }},
    {"in time", 3, in_time_share},
    {"goodput/s", 1, [](result const& r) { return r.goodput; }},
    {"work", 0, [](result const& r) { return r.useful_work; }},
    {"bad", 0, [](result const& r) { return static_cast<double>(r.degraded_answers); }},
    {"unfair", 3, [](result const& r) { return r.max_unfairness; }},
};

void print_header() {
  std::printf("| scenario | strategy |");
  for (auto const& column : columns) {
    std::printf(" %s |", column.name);
  }
  std::printf("\n|---|---|");
  for (std::size_t i = 0; i < std::size(columns); ++i) {
    std::printf("---:|");
  }
  std::printf("\n");
}

void print_row(std::string const& scenario, std::string const& strategy,
               std::vector<result> const& results) {
  std::printf("| %s | %s |", scenario.c_str(), strategy.c_str());
  for (auto const& column : columns) {
    double lowest = column.value(results.front());
    double highest = lowest;
    double sum = 0.0;
    for (auto const& item : results) {
      double const value = column.value(item);
      lowest = std::min(lowest, value);
      highest = std::max(highest, value);
      sum += value;
    }
    std::printf(" %.*f±%.*f |", column.decimals, sum / static_cast<double>(results.size()),
                column.decimals, (highest - lowest) / 2.0);
  }
  std::printf("\n");
  std::fflush(stdout);
}

bool is_selected(std::string const& selected_names, std::string const& name) {
  return selected_names.empty() ||
         ("," + selected_names + ",").find("," + name + ",") != std::string::npos;
}

void run(std::string const& scenarios, std::string const& strategies, int first_seed, int seeds,
         double load) {
  std::printf("seeds %d to %d, load factor %.2f\n\n", first_seed, first_seed + seeds - 1, load);
  print_header();
  for (auto scenario : all_scenarios()) {
    if (!is_selected(scenarios, scenario.name)) {
      continue;
    }
    scenario.requests_per_second *= load;
    for (auto const& strategy : all_strategies()) {
      if (!is_selected(strategies, strategy.name)) {
        continue;
      }
      std::vector<result> results;
      for (int seed = first_seed; seed < first_seed + seeds; ++seed) {
        results.push_back(simulation(scenario, strategy, static_cast<std::uint64_t>(seed)).run());
      }
      print_row(scenario.name, strategy.name, results);
    }
  }
}

} // namespace

} // namespace catkinlanding::experiment

int main(int argc, char const** argv) {
  char* scenarios = nullptr;
  char* strategies = nullptr;
  int first_seed = 1;
  int seeds = 3;
  double load = 1.0;
  poptOption const options[] = {
      {"scenarios", '\0', POPT_ARG_STRING, &scenarios, 0, "Comma-separated; all by default",
       "NAMES"},
      {"strategies", '\0', POPT_ARG_STRING, &strategies, 0, "Comma-separated; all by default",
       "NAMES"},
      {"seed", '\0', POPT_ARG_INT, &first_seed, 0, "The first seed", "NUMBER"},
      {"seeds", '\0', POPT_ARG_INT, &seeds, 0, "How many seeds", "NUMBER"},
      {"load", '\0', POPT_ARG_DOUBLE, &load, 0, "Factor on all arrivals", "FACTOR"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext const context = poptGetContext("catkinlanding-experiment", argc, argv, options, 0);
  int const code = poptGetNextOpt(context);
  if (code < -1 || seeds < 1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(code));
    poptFreeContext(context);
    return 2;
  }
  catkinlanding::experiment::run(scenarios == nullptr ? "" : scenarios,
                                 strategies == nullptr ? "" : strategies, first_seed, seeds, load);
  poptFreeContext(context);
  return 0;
}
