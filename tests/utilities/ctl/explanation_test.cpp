#include <utilities/ctl/explanation.h>

#include <gtest/gtest.h>

namespace catkinlanding::ctl {

namespace {

using namespace std::chrono_literals;

std::string line(std::string const& time, std::string const& instance, std::string const& event) {
  return "2026-12-04T10:00:" + time + " level=info instance=" + instance + " event=" + event;
}

explanation explain(std::vector<std::string> const& lines) {
  explanation made("r1");
  for (auto const& one : lines) {
    if (auto parsed = parse_log_line(one)) {
      made.add(std::move(*parsed));
    }
  }
  return made;
}

TEST(log_lines, are_read_with_their_fields_whatever_stands_before_them) {
  auto const read = parse_log_line(
      "  11.250 edge-1 " +
      line("01.250", "edge-1", "call refused target=/api fault=bad detail=\"no such route\" n=2"));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->instance, "edge-1");
  EXPECT_EQ(read->event, "call refused");
  EXPECT_EQ(read->field("detail"), "no such route");
  EXPECT_EQ(read->field("n"), "2");
  EXPECT_EQ(read->field("absent"), "");
  EXPECT_EQ(read->time % 1min, 1250ms);
  EXPECT_EQ(read->text.substr(0, 4), "2026");
}

TEST(log_lines, that_are_none_are_ignored) {
  for (auto const* text : {"", "words", "time level=info instance=a event=b c",
                           "2026-13-99T10:00:00.000 level=info instance=a event=b c",
                           "2026-12-04T10:00:00.000 event=b level=info"}) {
    EXPECT_FALSE(parse_log_line(text).has_value()) << text;
  }
}

TEST(explanations, tell_the_story_in_order_with_what_each_attempt_relied_on) {
  auto const text =
      explain({line("09.000", "edge-1", "entry ended request=r1 outcome=refused reason=expired"),
               line("08.000", "edge-1", "entry attempt request=r1 number=1 endpoint=e version=v2"),
               line("08.500", "edge-1", "entry attempt request=r2 number=1 endpoint=e version=v2"),
               line("02.000", "edge-1", "control endpoint id=e state=ready version=v2"),
               line("03.000", "edge-2", "control endpoint id=e state=gone version=v2"),
               line("08.900", "edge-1", "control endpoint id=e state=gone version=v2"),
               line("01.000", "edge-1", "control document revision=4 before=3 from=c"),
               line("07.000", "edge-1", "control lost revision=4")})
          .text();
  EXPECT_LT(text.find("entry attempt request=r1"), text.find("entry ended request=r1"));
  EXPECT_EQ(text.find("request=r2"), std::string::npos);
  EXPECT_NE(text.find("known since 6.000 s: control endpoint id=e state=ready"), std::string::npos);
  EXPECT_NE(text.find("known since 7.000 s: control document revision=4"), std::string::npos);
  EXPECT_NE(text.find("known since 1.000 s: control lost"), std::string::npos);
  EXPECT_NE(text.find("learned 0.900 s later: control endpoint id=e state=gone"),
            std::string::npos);
  EXPECT_EQ(text.find("edge-2"), std::string::npos);
  EXPECT_NE(text.find("Ended as refused, expired: The caller's time was over"), std::string::npos);
}

// Guards against state that an attempt is said to have relied on, though the instance learned it
// after the attempt within the same millisecond.
TEST(explanations, tell_what_was_learned_in_the_millisecond_of_the_attempt_by_the_order_of_lines) {
  auto const text =
      explain({line("08.000", "edge-1", "control endpoint id=e state=ready version=v2"),
               line("08.000", "edge-1", "entry attempt request=r1 number=1 endpoint=e version=v2"),
               line("08.000", "edge-1", "control endpoint id=e state=leaving version=v2")})
          .text();
  EXPECT_NE(text.find("known since 0.000 s: control endpoint id=e state=ready"), std::string::npos);
  EXPECT_NE(text.find("learned 0.000 s later: control endpoint id=e state=leaving"),
            std::string::npos);
}

// A request goes by way of another instance. Guards against a story that ends where it was passed
// on.
TEST(explanations, follow_a_request_to_another_entry_instance) {
  auto const text =
      explain({line("07.000", "edge-1", "entry cut_off endpoints=12"),
               line("08.000", "edge-1", "entry relayed request=r1 peer=10.0.0.2:7 route=a"),
               line("08.001", "edge-2", "entry attempt request=r1 number=1 endpoint=e version=v2"),
               line("08.100", "edge-2", "entry ended request=r1 outcome=answered reason=whole"),
               line("08.101", "edge-1", "entry ended request=r1 outcome=answered reason=relayed")})
          .text();
  EXPECT_NE(text.find("known since 1.000 s: entry cut_off endpoints=12"), std::string::npos)
      << text;
  EXPECT_LT(text.find("peer=10.0.0.2:7"), text.find("instance=edge-2"));
  EXPECT_NE(text.find("Ended as answered, relayed: Another entry instance"), std::string::npos);
}

TEST(explanations, leave_out_a_cut_that_was_over) {
  auto const text =
      explain({line("05.000", "edge-1", "entry cut_off endpoints=12"),
               line("06.000", "edge-1", "entry reconnected endpoints=12"),
               line("08.000", "edge-1", "entry relayed request=r1 peer=10.0.0.2:7 route=a")})
          .text();
  EXPECT_EQ(text.find("cut_off"), std::string::npos);
}

TEST(explanations, leave_out_a_loss_of_contact_that_was_over) {
  auto const text =
      explain({line("01.000", "edge-1", "control lost revision=4"),
               line("02.000", "edge-1", "control regained revision=4"),
               line("08.000", "edge-1", "entry attempt request=r1 number=1 endpoint=e version=v2")})
          .text();
  EXPECT_EQ(text.find("control lost"), std::string::npos);
  EXPECT_NE(text.find("do not tell how the request ended"), std::string::npos);
}

TEST(explanations, name_the_document_by_which_a_request_was_refused_unsent) {
  auto const text =
      explain({line("01.000", "edge-1", "control document revision=4 before=3 from=c"),
               line("03.500", "edge-1",
                    "entry ended request=r1 outcome=refused reason=unknown_key "
                    "attempts=0")})
          .text();
  EXPECT_NE(text.find("known since 2.500 s: control document revision=4"), std::string::npos);
  EXPECT_NE(text.find("Ended as refused, unknown_key: The route needs a key"), std::string::npos);
}

// Guards against a story that claims state which the instance had lost with its former process.
TEST(explanations, forget_the_state_of_an_earlier_process) {
  auto const text =
      explain({line("01.000", "edge-1", "control document revision=4 before=3 from=c"),
               line("02.000", "edge-1", "process started role=entry zone=a seeds=1"),
               line("02.400", "edge-1",
                    "entry ended request=r1 outcome=refused "
                    "reason=no_document attempts=0")})
          .text();
  EXPECT_EQ(text.find("control document"), std::string::npos);
  EXPECT_NE(text.find("known since 0.400 s: process started role=entry"), std::string::npos);
}

TEST(explanations, are_empty_without_a_line_of_the_request) {
  EXPECT_EQ(explain({line("01.000", "edge-1", "control lost revision=4")}).text(), "");
}

} // namespace

} // namespace catkinlanding::ctl
