#include "base/log/log.h"

#include <algorithm>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

namespace myrtlehead::log {

namespace {

constexpr std::size_t kMostLine = 2000; // a pipe that polls writable takes this much at once

spdlog::level::level_enum spdlogLevel(Level level) {
  switch (level) {
  case Level::debug:
    return spdlog::level::debug;
  case Level::info:
    return spdlog::level::info;
  case Level::warning:
    return spdlog::level::warn;
  case Level::error:
    break;
  }
  return spdlog::level::err;
}

const char *word(Level level) {
  constexpr const char *kWords[] = {"debug", "info", "warning", "error"};
  return kWords[static_cast<int>(level)];
}

std::string quoted(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// A word that reads the same without quotes stands without them.
bool plain(std::string_view text) {
  return !text.empty() && text.find_first_of(" \"=\\") == std::string_view::npos &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

void addValue(fmt::memory_buffer &out, const Field &field, bool json) {
  auto to = fmt::appender(out);
  switch (field.kind) {
  case Field::whole:
    fmt::format_to(to, "{}", field.number);
    break;
  case Field::real:
    fmt::format_to(to, "{:.6g}", field.figure);
    break;
  case Field::truth:
    fmt::format_to(to, "{}", field.number != 0);
    break;
  case Field::words:
    if (!json && plain(field.text))
      out.append(field.text);
    else
      out.append(quoted(field.text));
  }
}

// Passes whole lines to a descriptor, and drops them (counted) where the reader is behind: the instance must
// not stand still with it.
class Patient final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit Patient(int fd) : fd_(fd) {}
  unsigned long dropped() const { return all_; }

protected:
  void sink_it_(const spdlog::details::log_msg &msg) override {
    if (untold_ > 0) {
      const auto lost = fmt::format("{} log lines dropped, the reader is behind\n", untold_);
      if (send(lost)) untold_ = 0;
    }
    if (untold_ > 0 || !send({msg.payload.data(), msg.payload.size()})) ++untold_, ++all_;
  }
  void flush_() override {}

private:
  bool send(std::string_view line) {
    pollfd ready{fd_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) return false;
    return ::write(fd_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
  }
  int fd_;
  unsigned long untold_ = 0, all_ = 0;
};

class ToStream final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit ToStream(std::ostream &out) : out_(out) {}

protected:
  void sink_it_(const spdlog::details::log_msg &msg) override {
    out_.write(msg.payload.data(), static_cast<std::streamsize>(msg.payload.size()));
  }
  void flush_() override { out_.flush(); }

private:
  std::ostream &out_;
};

} // namespace

struct Log::Sink {
  Sink(std::shared_ptr<spdlog::sinks::sink> to, Form f) : logger("myrtlehead", std::move(to)), form(f) {
    logger.set_level(spdlog::level::trace); // the packages' own levels decide
  }
  spdlog::logger logger;
  Form form;
  std::shared_ptr<Patient> patient;
  Levels levels;
  std::map<std::string, Level, std::less<>> least; // by package
};

std::optional<Level> parseLevel(std::string_view word) {
  if (word == "debug") return Level::debug;
  if (word == "info") return Level::info;
  if (word == "warning") return Level::warning;
  if (word == "error") return Level::error;
  return std::nullopt;
}

Level Levels::of(std::string_view package) const {
  for (const auto &[name, level] : byPackage)
    if (name == package) return level;
  return least;
}

std::optional<Levels> parseLevels(std::string_view text) {
  Levels out;
  while (!text.empty()) {
    const auto end = std::min(text.find(','), text.size());
    const auto item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto eq = item.find('=');
    const auto level = parseLevel(eq == std::string_view::npos ? item : item.substr(eq + 1));
    if (!level) return std::nullopt;
    if (eq == std::string_view::npos)
      out.least = *level;
    else
      out.byPackage.emplace_back(item.substr(0, eq), *level);
  }
  return out;
}

void Log::write(Level level, std::string_view message, Fields fields) const {
  const bool json = sink_->form == Form::json;
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto ms = now.time_since_epoch().count() % 1000;
  const auto second = fmt::gmtime(std::chrono::system_clock::to_time_t(now));
  fmt::memory_buffer out;
  auto to = fmt::appender(out);
  if (json)
    fmt::format_to(to, R"({{"time":"{:%FT%T}.{:03}Z","level":"{}","package":"{}","message":{})", second, ms,
                   word(level), package_, quoted(message));
  else
    fmt::format_to(to, "{:%FT%T}.{:03}Z {} {}: {}", second, ms, word(level), package_, message);
  for (const auto &field : fields) {
    fmt::format_to(to, fmt::runtime(json ? ",\"{}\":" : " {}="), field.name);
    addValue(out, field, json);
  }
  if (json) out.push_back('}');
  if (out.size() >= kMostLine) {
    out.resize(kMostLine - 5);
    out.append(json ? std::string_view("\"}") : std::string_view("..."));
  }
  for (auto &c : out)
    if (static_cast<unsigned char>(c) < 0x20) c = '?';
  out.push_back('\n');
  sink_->logger.log(spdlogLevel(level), spdlog::string_view_t(out.data(), out.size()));
}

Logs::Logs(int fd, Form form, Levels levels) {
  auto patient = std::make_shared<Patient>(fd);
  sink_ = std::make_shared<Log::Sink>(patient, form);
  sink_->patient = patient;
  sink_->levels = std::move(levels);
}

Logs::Logs(std::ostream &out, Form form, Levels levels)
    : sink_(std::make_shared<Log::Sink>(std::make_shared<ToStream>(out), form)) {
  sink_->levels = std::move(levels);
}

Log Logs::of(std::string_view package) const {
  Log out;
  out.sink_ = sink_;
  out.package_ = package;
  out.least_ = &sink_->least.insert_or_assign(std::string(package), sink_->levels.of(package)).first->second;
  return out;
}

void Logs::take(Levels levels) {
  sink_->levels = std::move(levels);
  for (auto &[package, least] : sink_->least) least = sink_->levels.of(package);
}

unsigned long Logs::dropped() const { return sink_->patient != nullptr ? sink_->patient->dropped() : 0; }

} // namespace myrtlehead::log
