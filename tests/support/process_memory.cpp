#include <tests/support/process_memory.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace catkinlanding::testing {

std::size_t peak_memory_of(int process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string name;
  while (status >> name) {
    if (name == "VmHWM:") {
      constexpr std::size_t bytes_per_kilobyte = 1024;
      std::size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes * bytes_per_kilobyte;
    }
  }
  return 0;
}

std::size_t open_descriptors_of(int process) {
  std::filesystem::directory_iterator const descriptors("/proc/" + std::to_string(process) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

} // namespace catkinlanding::testing
