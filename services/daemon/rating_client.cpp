#include <libraries/base/overloaded.h>
#include <services/daemon/endpoint_client.h>
#include <services/daemon/rating_client.h>

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace catkinlanding::daemon {

namespace {

using nlohmann::json;

endpoint_client::options http_client_options(rating_client::options const& options) {
  return {.connect_timeout = options.connect_timeout,
          .head_timeout = options.judgement_timeout,
          .silence_timeout = options.judgement_timeout,
          .max_buffered_answer_size = options.max_judgement_size};
}

/// Builds the body of a rating request. A rated request that isn't valid JSON is sent as null, and
/// invalid UTF-8 in the answer is replaced.
std::string make_question(routing::rated_answer const& subject) {
  auto request = json::parse(*subject.request, nullptr, /*allow_exceptions=*/false);
  json const question = {{"model", subject.model.value},
                         {"version", subject.version.value},
                         {"class", subject.request_class.value},
                         {"request", request.is_discarded() ? json() : std::move(request)},
                         {"answer", subject.answer}};
  return question.dump(-1, ' ', false, json::error_handler_t::replace);
}

routing::judgement parse_judgement(std::string const& body) {
  auto const answer = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!answer.is_object()) {
    return routing::judgement::unknown;
  }
  auto const good = answer.find("good");
  if (good == answer.end() || !good->is_boolean()) {
    return routing::judgement::unknown;
  }
  return good->get<bool>() ? routing::judgement::good : routing::judgement::poor;
}

} // namespace

class rating_client::implementation {
public:
  implementation(boost::asio::io_context& context, options const& options, handler on_result)
      : m_on_result(std::move(on_result)),
        m_http_client(context, http_client_options(options),
                      [this](requests::event const& event) { handle_event(event); }) {}

  void start(routing::rating_request const& rating_request) {
    m_answers[rating_request.number] = {};
    requests::dispatch dispatch;
    dispatch.attempt = rating_request.number;
    dispatch.address = rating_request.address;
    dispatch.method = "POST";
    dispatch.path = "/v1/ratings";
    dispatch.content_type = "application/json";
    dispatch.body = std::make_shared<std::string const>(make_question(rating_request.subject));
    m_http_client.start(std::move(dispatch));
  }

private:
  struct answer {
    std::uint32_t status = 0;
    std::string body;
  };

  void handle_event(requests::event const& event) {
    std::visit(
        base::overloaded{
            [this](requests::attempt_head const& e) { m_answers[e.attempt].status = e.status; },
            [this](requests::attempt_data const& e) { m_answers[e.attempt].body += e.bytes; },
            [this](requests::attempt_finished const& e) { finish(e.attempt); },
            [this](requests::attempt_failed const& e) {
              m_answers.erase(e.attempt);
              m_on_result({.number = e.attempt});
            },
            [](auto const&) {},
        },
        event);
  }

  void finish(requests::attempt_number number) {
    constexpr std::uint32_t ok = 200;
    auto const answer = std::move(m_answers[number]);
    m_answers.erase(number);
    auto const judgement =
        answer.status == ok ? parse_judgement(answer.body) : routing::judgement::unknown;
    m_on_result({.number = number, .judgement = judgement});
  }

  handler m_on_result;
  std::map<requests::attempt_number, answer> m_answers;
  endpoint_client m_http_client;
};

rating_client::rating_client(boost::asio::io_context& context, options options, handler on_result)
    : m_implementation(std::make_unique<implementation>(context, options, std::move(on_result))) {}

rating_client::~rating_client() = default;

void rating_client::start(routing::rating_request const& rating_request) {
  m_implementation->start(rating_request);
}

} // namespace catkinlanding::daemon
