#include <libraries/proxy/control.h>
#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

replace_document document(std::uint64_t revision, std::string source) {
  replace_document made;
  made.document.revision = revision;
  made.source = std::move(source);
  return made;
}

/// Three voters. The first one, "a", leads, and its machine is suspended within its lease for some
/// seconds, in which another leader acknowledges a newer document. It has just gone on.
class suspended_leader : public ::testing::Test {
protected:
  void SetUp() override {
    m_group.found({"a", "b", "c"});
    m_group.run(5s);
    ASSERT_EQ(m_group.leader(), "a");
    m_group.call("a", 1, document(7, "old"));
    m_group.suspend("a");
    m_group.run(5s);
    m_new_leader = m_group.leader();
    ASSERT_NE(m_new_leader, "");
    m_group.call(m_new_leader, 2, document(8, "new"));
    ASSERT_EQ(m_group.reply(2)->kind, reply_kind::done);
    m_group.resume("a");
    ASSERT_EQ(m_group.node("a").replica().role(), consensus::role::leader);
  }

  control_group m_group{{"a", "b", "c"}};
  std::string m_new_leader;
};

// Guards against a leader that answers a read under the rest of a lease that ran out while its
// machine was suspended: an older document than one that was acknowledged (CONFIG).
TEST_F(suspended_leader, answers_no_read_under_its_old_lease) {
  EXPECT_FALSE(m_group.node("a").replica().holds_lease(m_group.now()));
  m_group.call("a", 3, read_document{});
  ASSERT_TRUE(m_group.reply(3).has_value());
  EXPECT_EQ(m_group.reply(3)->kind, reply_kind::unavailable);
  m_group.run(5s);
  m_group.call(m_group.leader(), 4, read_document{});
  EXPECT_EQ(*m_group.reply(4)->source, "new");
}

// Guards against the same for changes.
TEST_F(suspended_leader, acknowledges_no_change_under_its_old_lease) {
  m_group.call("a", 3, document(9, "newer"));
  auto const reply = m_group.reply(3);
  EXPECT_TRUE(!reply || reply->kind != reply_kind::done);
}

// Guards against an entry instance that gets an older document, or a share of an endpoint's rate,
// from a leader that is none any more.
TEST_F(suspended_leader, sends_no_state_and_grants_no_rate_under_its_old_lease) {
  subscription told{.is_entry = true};
  told.rate_notices = {{.source = {{"e"}, 1}, .rate = 4.0}};
  m_group.send("entry", "a", told);
  EXPECT_TRUE(m_group.updates("entry").empty());
}

} // namespace

} // namespace catkinlanding::proxy
