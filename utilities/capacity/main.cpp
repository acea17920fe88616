#include <utilities/capacity/series.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <popt.h>
#include <string>

namespace catkinlanding::capacity {

namespace {

void print(series const& series) {
  auto const line = fit(series.points);
  std::string points;
  for (auto const& point : series.points) {
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%s%g: %.4g", points.empty() ? "" : "; ", point.count,
                  point.cost);
    points += text.data();
  }
  std::printf("| %s (%s) | %s | %s | %.4g + %.4g n | %.0f%% |\n", series.cost.c_str(),
              series.unit.c_str(), series.per.c_str(), points.c_str(), line.intercept, line.slope,
              100 * line.max_relative_error);
}

int run(int argc, char const** argv) {
  int seed = 1;
  std::array<poptOption, 3> const options{{
      {"seed", 0, POPT_ARG_INT, static_cast<void*>(&seed), 0, "Seed of the reducers", "N"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context = poptGetContext("catkinlanding-capacity", argc, argv, options.data(), 0);
  int const result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result != -1) {
    std::fputs("usage: catkinlanding-capacity [--seed=N]\n", stderr);
    return EXIT_FAILURE;
  }
  for (auto const& measurement : measurements()) {
    std::printf("\n%s, seed %d\n\n", measurement.name, seed);
    std::printf("| cost | n | points | fit | largest error |\n|---|---|---|---|---|\n");
    for (auto const& series : measurement.run(static_cast<std::uint64_t>(seed))) {
      print(series);
    }
    std::fflush(stdout);
  }
  return EXIT_SUCCESS;
}

} // namespace

} // namespace catkinlanding::capacity

int main(int argc, char const** argv) {
  return catkinlanding::capacity::run(argc, argv);
}
