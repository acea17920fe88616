#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <platform/http_protocol_adapter.h>
#include <platform/json.h>

#include <random>

namespace catkinlanding::platform {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

json minimal_document() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r"},
             {"host", "h"},
             {"path_prefix", "/p/"},
             {"route_kind", "idempotent"},
             {"timeout_ms", 800},
             {"service", "s"}}}},
          {"services", {{{"name", "s"}}}}};
}

json announcement_json() {
  return {{"service", "s"}, {"address", "10.0.0.1:80"}, {"zone", "z"},       {"version", "v1"},
          {"slots", 6},     {"state", "ready"},         {"cold_left_ms", 0}, {"seq", 4}};
}

proxy::http_request call(proxy::http::verb method, std::string const& target,
                         std::string body = {}) {
  proxy::http_request request(method, target, 11);
  request.body() = std::move(body);
  return request;
}

TEST(read_document, reads_all_fields) {
  auto full = minimal_document();
  full["routes"][0].update({{"route_kind", "streaming"},
                            {"resumable", true},
                            {"max_attempts", 3},
                            {"sizes", {"small", "large"}},
                            {"target_gap_ms", 1000.0},
                            {"priority", 2}});
  full["routes"][0].erase("service");
  full["routes"][0]["traffic_split"] = {{{"service", "s"}, {"weight", 90}},
                                        {{"service", "t"}, {"weight", 10}}};
  full["services"].push_back({{"name", "t"}, {"engine", {{"slots", 64}, {"kv_capacity", 1000}}}});
  full["tenants"] = {{{"name", "ann"}, {"api_keys", {"k"}}, {"priority", 1}}};
  full["limits"] = {{"max_body_bytes", 99}, {"idle_timeout_ms", 15000}};
  auto const read = read_document(full.dump());
  ASSERT_TRUE(read.has_value()) << read.error().message;
  EXPECT_EQ(read->revision, 7U);
  auto const& route = read->routes.at(0);
  EXPECT_EQ(route.kind, proxy::route_kind::resumable_stream);
  EXPECT_EQ(route.timeout, 800ms);
  EXPECT_EQ(route.target_pause, 1s);
  EXPECT_EQ(route.shares.at(1).weight, 10U);
  EXPECT_EQ(route.models.at(1).value, "large");
  EXPECT_EQ(read->services.at(1).slots, 64U);
  EXPECT_EQ(read->customers.at(0).priority, 1U);
  EXPECT_EQ(read->limits.max_body_bytes, 99U);
}

// Guards against cold endpoints without a limit, and against limits that no operator stated.
TEST(read_cold_rates, reads_the_rate_of_each_service_that_has_one) {
  auto document = minimal_document();
  document["services"] = {{{"name", "a"}, {"cold_per_s", 2.5}, {"cold_start_s", 8}},
                          {{"name", "b"}, {"cold_per_s", 20}},
                          {{"name", "none"}},
                          {{"name", "zero"}, {"cold_per_s", 0}},
                          {{"name", "wrong"}, {"cold_per_s", "many"}}};
  EXPECT_EQ(read_cold_rates(document.dump()), (warmup::service_rates{{{"a"}, 2.5}, {{"b"}, 20.0}}));
  EXPECT_TRUE(read_document(document.dump()).has_value());
}

// Guards against a control instance that fails on a text it has restored.
TEST(read_cold_rates, finds_none_in_a_text_that_can_not_be_read) {
  EXPECT_TRUE(read_cold_rates("").empty());
  EXPECT_TRUE(read_cold_rates("[1]").empty());
}

TEST(read_document, ignores_unknown_fields) {
  auto grown = minimal_document();
  grown["later"] = {1, 2};
  grown["routes"][0]["later"] = "x";
  EXPECT_TRUE(read_document(grown.dump()).has_value());
}

TEST(read_document, rejects_invalid_fields) {
  auto const broken = [](auto const& breaking) {
    auto document = minimal_document();
    breaking(document);
    return !read_document(document.dump()).has_value();
  };
  EXPECT_TRUE(broken([](json& d) { d.erase("version"); }));
  EXPECT_TRUE(broken([](json& d) { d["version"] = -1; }));
  EXPECT_TRUE(broken([](json& d) { d["version"] = "7"; }));
  EXPECT_TRUE(broken([](json& d) { d["version"] = 7.5; }));
  EXPECT_TRUE(broken([](json& d) { d["routes"] = "none"; }));
  EXPECT_TRUE(broken([](json& d) { d["routes"][0] = 3; }));
  EXPECT_TRUE(broken([](json& d) { d["routes"][0].erase("timeout_ms"); }));
  EXPECT_TRUE(broken([](json& d) { d["routes"][0]["timeout_ms"] = -5; }));
  EXPECT_TRUE(broken([](json& d) { d["routes"][0]["route_kind"] = "sometimes"; }));
  EXPECT_TRUE(broken([](json& d) { d["routes"][0]["public"] = "yes"; }));
  EXPECT_TRUE(broken([](json& d) { d["routes"][0].erase("service"); }));
  EXPECT_TRUE(broken([](json& d) { d["services"][0].erase("name"); }));
  EXPECT_TRUE(broken([](json& d) { d["tenants"] = {{{"name", "a"}, {"api_keys", {1}}}}; }));
}

TEST(read_document, rejects_truncated_documents) {
  auto const text = minimal_document().dump();
  for (std::size_t size = 0; size < text.size(); ++size) {
    EXPECT_FALSE(read_document(text.substr(0, size)).has_value()) << size;
  }
}

TEST(platform_json, survives_mutated_bodies) {
  std::mt19937_64 random(1);
  auto const text = minimal_document().dump();
  for (int i = 0; i < 20'000; ++i) {
    auto changed = text;
    for (std::uint64_t j = random() % 4 + 1; j > 0; --j) {
      changed[random() % changed.size()] = static_cast<char>(random());
    }
    static_cast<void>(read_document(changed));
    static_cast<void>(read_endpoint_announcement({"e"}, changed));
    static_cast<void>(read_start_rollout(changed));
  }
}

TEST(read_endpoint_announcement, reads_all_fields) {
  auto body = announcement_json();
  body["state"] = "draining";
  body["born"] = 1'700'000'000'000;
  auto const read = read_endpoint_announcement({"e"}, body.dump());
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->id.value, "e");
  EXPECT_EQ(read->address, (base::address{.ip = "10.0.0.1", .port = 80}));
  EXPECT_TRUE(read->is_leaving);
  EXPECT_EQ(read->number,
            (proxy::announcement_number{.incarnation = 1'700'000'000'000, .sequence = 4}));
}

TEST(read_endpoint_announcement, rejects_missing_and_invalid_fields) {
  for (auto const* field : {"service", "address", "state", "seq"}) {
    auto body = announcement_json();
    body.erase(field);
    EXPECT_FALSE(read_endpoint_announcement({"e"}, body.dump()).has_value()) << field;
    body[field] = json::array();
    EXPECT_FALSE(read_endpoint_announcement({"e"}, body.dump()).has_value()) << field;
  }
  auto body = announcement_json();
  body["state"] = "resting";
  EXPECT_FALSE(read_endpoint_announcement({"e"}, body.dump()).has_value());
  body = announcement_json();
  body["born"] = 17.5;
  EXPECT_FALSE(read_endpoint_announcement({"e"}, body.dump()).has_value());
}

// The start that an endpoint withdrew was not read, so a later one got no work.
TEST(read_call, reads_the_start_that_a_withdrawal_names) {
  http_protocol_adapter const protocol_adapter;
  auto const start = [&](std::string const& body) {
    auto const read = protocol_adapter.read_call(
        call(proxy::http::verb::post, "/api/Instances.Deregister/e", body));
    return std::get<proxy::withdraw_endpoint>(read.value()).incarnation;
  };
  EXPECT_EQ(start(R"({"born":1700000000000,"seq":4})"), 1'700'000'000'000U);
  for (auto const* body : {"", "{}", R"({"born":17.5})", R"({"born":"x"})", R"({"born":-1})",
                           R"({"born":null})", "[]", R"({"born":17)"}) {
    EXPECT_EQ(start(body), std::nullopt) << body;
  }
}

TEST(read_call, distinguishes_calls_by_method_and_path) {
  http_protocol_adapter const protocol_adapter;
  using proxy::http::verb;
  auto const index = [&](proxy::http_request const& request) {
    auto const read = protocol_adapter.read_call(request);
    return read ? static_cast<int>(read->index()) : -1;
  };
  EXPECT_EQ(index(call(verb::post, "/api/Config.Put", minimal_document().dump())), 0);
  EXPECT_EQ(index(call(verb::get, "/api/Config.Get")), 1);
  EXPECT_EQ(index(call(verb::post, "/api/Rollouts.Start",
                       R"({"service":"s","target":"v2","duration_s":12})")),
            2);
  EXPECT_EQ(index(call(verb::get, "/api/Rollouts.Get/s")), 3);
  EXPECT_EQ(index(call(verb::post, "/api/Instances.Heartbeat/e", announcement_json().dump())), 4);
  EXPECT_EQ(index(call(verb::post, "/api/Instances.Deregister/e")), 5);
  EXPECT_EQ(index(call(verb::get, "/api/Config.Put")), -1);
  EXPECT_EQ(index(call(verb::post, "/api/Instances.Heartbeat/", announcement_json().dump())), -1);
  EXPECT_EQ(index(call(verb::get, "/")), -1);
}

TEST(write_reply, maps_replies_to_statuses) {
  http_protocol_adapter const protocol_adapter;
  auto const request = call(proxy::http::verb::get, "/api/Config.Get");
  auto const status = [&](proxy::reply_kind kind, std::string const& leader = {}) {
    return protocol_adapter.write_reply(request, proxy::read_document{}, {.kind = kind}, leader)
        .result_int();
  };
  EXPECT_EQ(status(proxy::reply_kind::found), 200U);
  EXPECT_EQ(status(proxy::reply_kind::not_found), 503U);
  EXPECT_EQ(status(proxy::reply_kind::unavailable), 503U);
  EXPECT_EQ(status(proxy::reply_kind::not_leader), 503U);
  EXPECT_EQ(status(proxy::reply_kind::not_leader, "10.0.0.1:80"), 307U);
}

TEST(write_refusal, answers_503_only_if_the_request_did_not_run) {
  http_protocol_adapter const protocol_adapter;
  using proxy::refusal_kind;
  auto const status = [&](refusal_kind kind) {
    return protocol_adapter.write_refusal({.kind = kind}).result_int();
  };
  EXPECT_EQ(status(refusal_kind::not_run), 503U);
  EXPECT_EQ(status(refusal_kind::no_endpoint), 503U);
  EXPECT_EQ(status(refusal_kind::expired_unsent), 503U);
  EXPECT_EQ(status(refusal_kind::expired), 504U);
  EXPECT_EQ(status(refusal_kind::outcome_unknown), 502U);
  auto const later =
      protocol_adapter.write_refusal({.kind = refusal_kind::not_run, .retry_after = 412ms});
  EXPECT_EQ(later["Retry-After"], "0.412");
}

TEST(read_request, reads_the_routing_inputs) {
  http_protocol_adapter const protocol_adapter;
  proxy::http_request request(proxy::http::verb::post, "/p/x?q=/y/", 11);
  request.set("Host", "h");
  request.set("Attempt-Id", "a");
  request.set("Deadline-Ms", "1500");
  request.set("Authorization", "Bearer key");
  request.set("Model", "*");
  request.set("Token-Counts", "1460,80");
  request.set("Prefix-Hash", "5c1e:800, 91bd:410,broken,e440:250");
  auto const facts = protocol_adapter.read_request(request.base());
  ASSERT_TRUE(facts.has_value());
  EXPECT_EQ(facts->path, "/p/x");
  EXPECT_EQ(facts->caller_timeout, 1500ms);
  EXPECT_EQ(facts->key, "key");
  EXPECT_FALSE(facts->model.has_value());
  EXPECT_EQ(facts->prompt_tokens, 1460U);
  ASSERT_EQ(facts->prompt.size(), 3U);
  EXPECT_EQ(facts->prompt[1], (proxy::prompt_part{.id = "91bd", .tokens = 410}));
}

TEST(read_request, requires_a_host_an_id_and_a_valid_deadline) {
  http_protocol_adapter const protocol_adapter;
  proxy::http_request request(proxy::http::verb::get, "/", 11);
  EXPECT_EQ(protocol_adapter.read_request(request.base()).error(), proxy::request_error::no_host);
  request.set("Host", "h");
  EXPECT_EQ(protocol_adapter.read_request(request.base()).error(),
            proxy::request_error::no_request_id);
  request.set("Attempt-Id", "a");
  for (auto const* time : {"soon", "-1", "", "1 2", "nan"}) {
    request.set("Deadline-Ms", time);
    EXPECT_FALSE(protocol_adapter.read_request(request.base()).has_value()) << time;
  }
}

TEST(read_answer, matches_answers_to_their_request) {
  http_protocol_adapter const protocol_adapter;
  auto const facts = [&](proxy::http_response const& answer) {
    return protocol_adapter.read_answer(answer.base(), {"a"}, {"e"});
  };
  proxy::http_response answer(proxy::http::status::ok, 11);
  EXPECT_FALSE(facts(answer).matches_request);
  answer.set("Attempt-Id", "b");
  EXPECT_FALSE(facts(answer).matches_request);
  answer.set("Attempt-Id", "a");
  answer.set("Confidence", "40");
  EXPECT_TRUE(facts(answer).matches_request);
  EXPECT_FALSE(facts(answer).is_sealed);
  EXPECT_DOUBLE_EQ(facts(answer).confidence.value_or(0.0), 0.4);
  proxy::http_response misdirected(proxy::http::status::misdirected_request, 11);
  EXPECT_TRUE(facts(misdirected).is_not_executed);
  EXPECT_FALSE(facts(misdirected).is_wrong_endpoint);
  misdirected.set("Instance-Id", "f");
  EXPECT_TRUE(facts(misdirected).is_wrong_endpoint);
}

/// What the adapter reads from an answer with this status and these values of one header.
proxy::answer_metadata read_with_header(proxy::http::status status, char const* name,
                                        std::vector<std::string> const& values) {
  proxy::http_response answer(status, 11);
  for (auto const& value : values) {
    answer.insert(name, value);
  }
  return http_protocol_adapter{}.read_answer(answer.base(), {"a"}, {"e"});
}

TEST(read_answer, reads_the_rate_that_an_endpoint_states_and_ignores_malformed_ones) {
  auto const read = [](std::vector<std::string> const& values) {
    return read_with_header(proxy::http::status::ok, "Server-Limit", values);
  };
  std::vector const unreadable{proxy::notice_kind::rate_limited};
  EXPECT_FALSE(read({}).notice.rate.has_value());
  EXPECT_TRUE(read({}).unreadable_notices.empty());
  EXPECT_DOUBLE_EQ(read({"2.5"}).notice.rate.value_or(-1.0), 2.5);
  EXPECT_DOUBLE_EQ(read({"0"}).notice.rate.value_or(-1.0), 0.0);
  for (auto const* malformed : {"-1", "nan", "inf", "", "x", "2.5 a", "1e300", "2,5"}) {
    EXPECT_FALSE(read({malformed}).notice.rate.has_value()) << malformed;
    EXPECT_EQ(read({malformed}).unreadable_notices, unreadable) << malformed;
    EXPECT_FALSE(read({malformed}).notice.is_rate_known) << malformed;
  }
  EXPECT_EQ(read({"1", "2"}).unreadable_notices, unreadable);
}

TEST(read_answer, reads_that_an_endpoint_is_leaving_in_any_answer) {
  using proxy::http::status;
  for (auto const code : {status::ok, status::internal_server_error, status::service_unavailable,
                          status::too_many_requests}) {
    EXPECT_TRUE(read_with_header(code, "Server-Leaving", {"1"}).notice.is_leaving);
    EXPECT_FALSE(read_with_header(code, "Server-Leaving", {"0"}).notice.is_leaving);
    EXPECT_FALSE(read_with_header(code, "Server-Leaving", {}).notice.is_leaving);
  }
  std::vector const unreadable{proxy::notice_kind::leaving};
  for (auto const* malformed : {"", "-1", "yes", "1 1", "11", "1e0"}) {
    auto const read = read_with_header(status::ok, "Server-Leaving", {malformed});
    EXPECT_FALSE(read.notice.is_leaving) << malformed;
    EXPECT_EQ(read.unreadable_notices, unreadable) << malformed;
  }
  EXPECT_EQ(read_with_header(status::ok, "Server-Leaving", {"1", "1"}).unreadable_notices,
            unreadable);
}

TEST(read_answer, reads_the_rejection_limit_of_an_endpoint_in_any_answer) {
  using proxy::http::status;
  for (auto const code : {status::ok, status::internal_server_error, status::service_unavailable}) {
    EXPECT_EQ(read_with_header(code, "Server-Brittle", {"12"}).notice.max_rejections, 12U);
    EXPECT_FALSE(read_with_header(code, "Server-Brittle", {}).notice.max_rejections.has_value());
  }
  std::vector const unreadable{proxy::notice_kind::rejection_limited};
  for (auto const* malformed : {"", "-1", "x", "1 1", "nan", "99999999999999999999"}) {
    auto const read = read_with_header(status::ok, "Server-Brittle", {malformed});
    EXPECT_FALSE(read.notice.max_rejections.has_value()) << malformed;
    EXPECT_EQ(read.unreadable_notices, unreadable) << malformed;
  }
  EXPECT_EQ(read_with_header(status::ok, "Server-Brittle", {"1", "1"}).unreadable_notices,
            unreadable);
}

TEST(read_answer, reads_a_pause_from_rejections_only) {
  using proxy::http::status;
  using std::chrono_literals::operator""ms;
  auto const read = [](std::vector<std::string> const& values) {
    return read_with_header(status::service_unavailable, "Retry-After", values);
  };
  EXPECT_EQ(read({"1.5"}).notice.pause, 1500ms);
  EXPECT_EQ(read({"0"}).notice.pause, 0ms);
  EXPECT_FALSE(read({}).notice.pause.has_value());
  EXPECT_FALSE(read_with_header(status::ok, "Retry-After", {"2"}).notice.pause.has_value());
  EXPECT_TRUE(read_with_header(status::ok, "Retry-After", {"x"}).unreadable_notices.empty());
  std::vector const unreadable{proxy::notice_kind::paused};
  for (auto const* malformed :
       {"-1", "nan", "inf", "", "x", "1e9", "Fri, 04 Dec 2026 10:00:00 GMT", "2 2"}) {
    EXPECT_FALSE(read({malformed}).notice.pause.has_value()) << malformed;
    EXPECT_EQ(read({malformed}).unreadable_notices, unreadable) << malformed;
  }
  EXPECT_EQ(read({"1", "2"}).unreadable_notices, unreadable);
}

} // namespace

} // namespace catkinlanding::platform
