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

// A pipe that poll() reports as writable accepts at least this many bytes in one write.
constexpr std::size_t kMaxLineBytes = 2000;

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

const char *levelName(Level level) {
  constexpr const char *kNames[] = {"debug", "info", "warning", "error"};
  return kNames[static_cast<int>(level)];
}

// Returns the text as a JSON string. Invalid UTF-8 is replaced.
std::string quoted(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns true if the text is unambiguous without quotes in the text format.
bool needsNoQuotes(std::string_view text) {
  return !text.empty() && text.find_first_of(" \"=\\") == std::string_view::npos &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

void appendValue(fmt::memory_buffer &out, const Field &field, Format format) {
  auto to = fmt::appender(out);
  switch (field.kind) {
  case Field::integer:
    fmt::format_to(to, "{}", field.integerValue);
    break;
  case Field::real:
    fmt::format_to(to, "{:.6g}", field.realValue);
    break;
  case Field::boolean:
    fmt::format_to(to, "{}", field.integerValue != 0);
    break;
  case Field::text:
    if (format == Format::text && needsNoQuotes(field.textValue))
      out.append(field.textValue);
    else
      out.append(quoted(field.textValue));
  }
}

// Writes complete lines to a descriptor without ever blocking the process. A line is dropped and counted if
// the descriptor cannot take it at once, because the reader is too slow.
class NonBlockingSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit NonBlockingSink(int fd) : fd_(fd) {}
  unsigned long droppedLines() const { return totalDropped_; }

protected:
  void sink_it_(const spdlog::details::log_msg &msg) override {
    if (unreportedDropped_ > 0) {
      const auto notice = fmt::format("{} log lines dropped because the reader is too slow\n",
                                      unreportedDropped_);
      if (send(notice)) unreportedDropped_ = 0;
    }
    if (unreportedDropped_ > 0 || !send({msg.payload.data(), msg.payload.size()})) {
      ++unreportedDropped_;
      ++totalDropped_;
    }
  }
  void flush_() override {}

private:
  bool send(std::string_view line) {
    pollfd ready{fd_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) return false;
    return ::write(fd_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
  }
  int fd_;
  unsigned long unreportedDropped_ = 0; // lines dropped since the last notice to the reader
  unsigned long totalDropped_ = 0;
};

class StreamSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit StreamSink(std::ostream &out) : out_(out) {}

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
  Sink(std::shared_ptr<spdlog::sinks::sink> to, Format f) : logger("myrtlehead", std::move(to)), format(f) {
    logger.set_level(spdlog::level::trace); // lines are filtered by the levels of the packages instead
  }
  spdlog::logger logger;
  Format format;
  std::shared_ptr<NonBlockingSink> descriptorSink; // null if the lines go to a stream
  Levels levels;
  // The minimum level by package. Each Log refers to its element, so elements are never removed.
  std::map<std::string, Level, std::less<>> minimumLevels;
};

std::optional<Level> parseLevel(std::string_view name) {
  if (name == "debug") return Level::debug;
  if (name == "info") return Level::info;
  if (name == "warning") return Level::warning;
  if (name == "error") return Level::error;
  return std::nullopt;
}

Level Levels::levelOf(std::string_view package) const {
  for (const auto &[name, level] : byPackage)
    if (name == package) return level;
  return defaultLevel;
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
      out.defaultLevel = *level;
    else
      out.byPackage.emplace_back(item.substr(0, eq), *level);
  }
  return out;
}

void Log::write(Level level, std::string_view message, Fields fields) const {
  const bool isJson = sink_->format == Format::json;
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto ms = now.time_since_epoch().count() % 1000;
  const auto second = fmt::gmtime(std::chrono::system_clock::to_time_t(now));
  fmt::memory_buffer out;
  auto to = fmt::appender(out);
  if (isJson)
    fmt::format_to(to, R"({{"time":"{:%FT%T}.{:03}Z","level":"{}","package":"{}","message":{})", second, ms,
                   levelName(level), package_, quoted(message));
  else
    fmt::format_to(to, "{:%FT%T}.{:03}Z {} {}: {}", second, ms, levelName(level), package_, message);
  for (const auto &field : fields) {
    fmt::format_to(to, fmt::runtime(isJson ? ",\"{}\":" : " {}="), field.name);
    appendValue(out, field, sink_->format);
  }
  if (isJson) out.push_back('}');
  if (out.size() >= kMaxLineBytes) {
    out.resize(kMaxLineBytes - 5); // leaves space for the ending and the newline
    out.append(isJson ? std::string_view("\"}") : std::string_view("..."));
  }
  for (auto &c : out)
    if (static_cast<unsigned char>(c) < 0x20) c = '?';
  out.push_back('\n');
  sink_->logger.log(spdlogLevel(level), spdlog::string_view_t(out.data(), out.size()));
}

LogOutput::LogOutput(int fd, Format format, Levels levels) {
  auto sink = std::make_shared<NonBlockingSink>(fd);
  sink_ = std::make_shared<Log::Sink>(sink, format);
  sink_->descriptorSink = sink;
  sink_->levels = std::move(levels);
}

LogOutput::LogOutput(std::ostream &out, Format format, Levels levels)
    : sink_(std::make_shared<Log::Sink>(std::make_shared<StreamSink>(out), format)) {
  sink_->levels = std::move(levels);
}

Log LogOutput::forPackage(std::string_view package) const {
  const auto level = sink_->levels.levelOf(package);
  Log out;
  out.sink_ = sink_;
  out.package_ = package;
  out.minimumLevel_ = &sink_->minimumLevels.insert_or_assign(std::string(package), level).first->second;
  return out;
}

void LogOutput::setLevels(Levels levels) {
  sink_->levels = std::move(levels);
  for (auto &[package, minimum] : sink_->minimumLevels) minimum = sink_->levels.levelOf(package);
}

unsigned long LogOutput::droppedLines() const {
  return sink_->descriptorSink != nullptr ? sink_->descriptorSink->droppedLines() : 0;
}

} // namespace myrtlehead::log
