#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

// Guards against instances with new disks that never find the group: it has dropped their lost
// disks, and their seeds are each other and an instance that never had a place and was restarted.
TEST(seeds_outside_group, do_not_keep_instances_with_new_disks_out) {
  control_group group({"a", "b", "c"});
  group.tolerate({.instances = 2});
  std::uint64_t disk = 8;
  group.start_together({"a", "b", "c", "d", "e", "f", "g", "h"});
  group.run(6s);
  group.stop("c");
  group.run(5s);
  group.use_seeds({"a", "b", "i"});
  group.start("i", ++disk);
  group.run(5s);
  for (std::string const instance : {"a", "b", "i"}) {
    group.stop(instance);
  }
  group.run(5s);
  group.start("a", ++disk);
  group.start("b", ++disk);
  group.restart("i");
  group.run(12s);
  EXPECT_EQ(group.voter_disks().size(), 7U);
}

} // namespace

} // namespace catkinlanding::proxy
