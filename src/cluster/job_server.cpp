#include "cluster/job_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace myrtlehead::cluster {

namespace http = boost::beast::http;

namespace {
constexpr std::size_t kMostBody = 64 * 1024, kMostHead = 8 * 1024;
constexpr std::size_t kMostDue = 64; // questions on one connection that are not answered yet
constexpr int kMostOpen = 256;
constexpr Nanoseconds kIdle = 60 * kSecond,
                      kWhole = 5 * kSecond; // without a question; for one that has begun

std::string written(const HttpResponse &a, bool last) {
  http::response<http::string_body> out(static_cast<http::status>(a.status), 11, a.body);
  out.set(http::field::content_type, "application/json");
  if (a.status == 503) out.set(http::field::retry_after, "1");
  out.keep_alive(!last);
  out.prepare_payload();
  std::ostringstream text;
  text << out;
  return std::move(text).str();
}

HttpResponse fault(int status, const char *why) { return {status, nlohmann::json{{"error", why}}.dump()}; }
} // namespace

struct JobServer::Due {
  bool made = false, last = false;
  HttpResponse answer;
};

struct JobServer::Line {
  std::unique_ptr<net::Socket> socket;
  std::deque<std::shared_ptr<Due>> due;
  sched::Event changed;
  bool over = false;
};

JobServer::JobServer(net::Scheduler &sched, net::DescriptorBudget &budget, ReplicatedRegisters &registers,
                     JobManager &jobs, const Membership &membership, log::Log &log)
    : sched_(sched), budget_(budget), registers_(registers), jobs_(jobs), membership_(membership), log_(log),
      listener_(net::listenTcp(sched, budget, membership.listen)) {}

net::Task<> JobServer::accept() {
  for (;;) {
    auto socket = net::tryAccept(sched_, budget_, *listener_);
    if (socket && open_ < kMostOpen)
      sched_.spawn(serve(std::move(*socket)));
    else if (!socket)
      co_await listener_->waitReadable({sched_.now() + kSecond, nullptr});
  }
}

// Questions are read one behind the other and answered in their order, but made side by side: one that waits
// for the disk or for other members keeps none behind it from being begun.
net::Task<> JobServer::serve(std::unique_ptr<net::Socket> socket) {
  struct Open {
    int &n;
    ~Open() { --n; }
  } open{++open_};
  const auto line = std::make_shared<Line>();
  line->socket = std::move(socket);
  sched_.spawn(write(line));
  net::Buffer buffer;
  for (bool more = true; more && !line->over;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMostBody), parser.header_limit(kMostHead), parser.eager(true);
    Nanoseconds until = sched_.now() + kIdle;
    const char *why = nullptr;
    while (!parser.is_done() && why == nullptr) {
      boost::system::error_code error;
      if (!buffer.view().empty()) {
        const auto used = parser.put(boost::asio::const_buffer(buffer.view().data(), buffer.view().size()),
                                     error);
        buffer.consume(used);
        if (error == http::error::body_limit)
          why = "the body is above 64 KiB";
        else if (error && error != http::error::need_more)
          why = "no HTTP/1.1 request";
        if (parser.is_done() || why != nullptr) break;
      }
      const auto cause = co_await line->socket->read(buffer, {until, nullptr});
      if (cause != net::ErrorCode::none) {
        line->over = true, line->changed.notify();
        co_return;
      }
      until = std::min(until, sched_.now() + kWhole);
    }
    const auto due = std::make_shared<Due>();
    line->due.push_back(due);
    more = why == nullptr && parser.get().keep_alive();
    due->last = !more;
    if (why != nullptr) {
      due->answer = fault(400, why), due->made = true;
      line->changed.notify();
      break;
    }
    auto &request = parser.get();
    sched_.spawn(make(line, due, std::string(request.method_string()), std::string(request.target()),
                      std::move(request.body())));
    while (line->due.size() >= kMostDue && !line->over) co_await sched_.wait(line->changed);
  }
}

net::Task<> JobServer::make(std::shared_ptr<Line> line, std::shared_ptr<Due> due, std::string method,
                            std::string target, std::string body) {
  due->answer = co_await answer(std::move(method), std::move(target), std::move(body));
  due->made = true;
  line->changed.notify();
}

net::Task<> JobServer::write(std::shared_ptr<Line> line) {
  while (!line->over) {
    if (line->due.empty() || !line->due.front()->made) {
      co_await sched_.wait(line->changed);
      continue;
    }
    const auto due = line->due.front();
    const auto cause = co_await line->socket->write(written(due->answer, due->last),
                                                    {sched_.now() + kWhole, nullptr});
    line->due.pop_front();
    if (cause != net::ErrorCode::none || due->last) line->over = true;
    if (due->last) line->socket->shutdownWrite();
    line->changed.notify();
  }
  line->socket->shutdown(); // who reads here sees the end
}

net::Task<HttpResponse> JobServer::answer(std::string method, std::string target, std::string body) {
  constexpr std::string_view kJob = "/jobs/";
  HttpResponse out;
  if (method == "POST" && target == "/fleet/promise")
    out = co_await registers_.promise(std::move(body));
  else if (method == "POST" && target == "/fleet/accept")
    out = co_await registers_.accept(std::move(body));
  else if (method == "POST" && target == "/jobs")
    out = co_await jobs_.submit(std::move(body));
  else if (method == "GET" && target.starts_with(kJob) && target.size() == kJob.size() + 16)
    out = co_await jobs_.tell(target.substr(kJob.size()));
  else if (method == "GET" && target == "/members")
    out = members();
  else
    out = fault(404, "known are POST /jobs, GET /jobs/ID, GET /members");
  co_return out;
}

HttpResponse JobServer::members() const {
  auto list = nlohmann::json::array();
  for (std::uint32_t m = 0; m < registers_.members(); ++m) {
    const auto at = registers_.answeredAt()[m];
    nlohmann::json one{{"name", membership_.members[m].name}, {"at", net::text(membership_.members[m].at)}};
    one["answered_ms_ago"] = at == 0 ? nlohmann::json(nullptr)
                                     : nlohmann::json((sched_.now() - at) / kMillisecond);
    list.push_back(std::move(one));
  }
  const auto f = jobs_.figures();
  return {200, nlohmann::json{{"me", membership_.members[registers_.me()].name},
                              {"members", std::move(list)},
                              {"jobs",
                               {{"open", f.open},
                                {"running", f.running},
                                {"taken", f.taken},
                                {"refused", f.refused},
                                {"begun", f.begun},
                                {"reported", f.reported},
                                {"stopped", f.stopped}}}}
                   .dump()};
}

} // namespace myrtlehead::cluster
