#include "cluster/register_store.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <sqlite3.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>

namespace myrtlehead::cluster {

namespace {

constexpr int kForm = 1;                // of the file
constexpr std::size_t kMostBatch = 512; // writes in one transaction

// A statement that ends with its scope. SQLite's own words where it can't be made.
class Statement {
public:
  Statement(sqlite3 *db, const char *sql) {
    if (sqlite3_prepare_v2(db, sql, -1, &at_, nullptr) != SQLITE_OK)
      throw std::runtime_error(sqlite3_errmsg(db));
  }
  ~Statement() { sqlite3_finalize(at_); }
  Statement(const Statement &) = delete;
  Statement &operator=(const Statement &) = delete;
  Statement &bind(const std::string &text) {
    sqlite3_bind_blob(at_, ++n_, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement &bind(std::uint64_t v) {
    sqlite3_bind_int64(at_, ++n_, static_cast<sqlite3_int64>(v));
    return *this;
  }
  bool row() {
    const int what = sqlite3_step(at_);
    if (what != SQLITE_ROW && what != SQLITE_DONE)
      throw std::runtime_error(sqlite3_errmsg(sqlite3_db_handle(at_)));
    return what == SQLITE_ROW;
  }
  std::uint64_t number(int i) { return static_cast<std::uint64_t>(sqlite3_column_int64(at_, i)); }
  std::string text(int i) {
    const auto *at = static_cast<const char *>(sqlite3_column_blob(at_, i));
    return at == nullptr ? "" : std::string(at, static_cast<std::size_t>(sqlite3_column_bytes(at_, i)));
  }

private:
  sqlite3_stmt *at_ = nullptr;
  int n_ = 0;
};

void run(sqlite3 *db, const char *sql) {
  if (sqlite3_exec(db, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
    throw std::runtime_error(sqlite3_errmsg(db));
}

void write(sqlite3 *db, const std::string &key, const custody::Held &h, bool gone) {
  if (gone) {
    Statement(db, "DELETE FROM registers WHERE key = ?").bind(key).row();
    return;
  }
  Statement(db, "INSERT OR REPLACE INTO registers VALUES (?, ?, ?, ?, ?, ?, ?, ?)")
      .bind(key)
      .bind(h.promised.round)
      .bind(h.promised.life)
      .bind(h.promised.member)
      .bind(h.accepted.round)
      .bind(h.accepted.life)
      .bind(h.accepted.member)
      .bind(h.value)
      .row();
}

} // namespace

SqliteRegisterStore::SqliteRegisterStore(sched::Scheduler &sched, const std::string &folder,
                                         const std::string &of, std::uint64_t unixNow)
    : sched_(sched), path_(folder + "/ledger.db") {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error || access(folder.c_str(), W_OK) != 0)
    throw std::runtime_error("fleet.folder: " + folder +
                             " can't be written: " + (error ? error.message() : std::strerror(errno)));
  refusal = open(of, unixNow);
  if (!refusal.empty()) {
    sqlite3_close(db_);
    db_ = nullptr;
    for (const char *rest :
         {"", "-wal", "-shm"}) // the log goes with its file, or it would be taken for the next one's
      std::filesystem::rename(path_ + rest, path_ + ".refused" + rest, error);
    if (const auto again = open(of, unixNow); !again.empty())
      throw std::runtime_error("fleet.folder: " + path_ + ": " + again);
  }
  event_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (event_ < 0) throw std::runtime_error("no descriptor left for the fleet's ledger");
  thread_ = std::thread([this] { this->run(); });
}

SqliteRegisterStore::~SqliteRegisterStore() {
  {
    const std::lock_guard lock(mutex_);
    over_ = true;
  }
  handed_.notify_one();
  thread_.join();
  sqlite3_close(db_);
  close(event_);
}

std::string SqliteRegisterStore::open(const std::string &of, std::uint64_t unixNow) {
  try {
    if (sqlite3_open_v2(path_.c_str(), &db_,
                        SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_FULLMUTEX,
                        nullptr) != SQLITE_OK)
      return sqlite3_errmsg(db_);
    cluster::run(db_, "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL");
    cluster::run(db_, "CREATE TABLE IF NOT EXISTS meta (form INTEGER, owner BLOB, life INTEGER)");
    Statement meta(db_, "SELECT form, owner, life FROM meta");
    if (meta.row()) {
      if (meta.number(0) != kForm)
        return "it has form " + std::to_string(meta.number(0)) + ", this program writes 1";
      if (meta.text(1) != of)
        return "it is the ledger of '" + meta.text(1) + "', this member is '" + of + "'";
      life_ = meta.number(2);
    }
    life_ = std::max(life_ + 1, unixNow); // also above those of a ledger that was lost
    cluster::run(
        db_,
        "CREATE TABLE IF NOT EXISTS registers (key BLOB PRIMARY KEY, pr INTEGER, pl INTEGER, pm INTEGER, "
        "ar INTEGER, al INTEGER, am INTEGER, value BLOB) WITHOUT ROWID; DELETE FROM meta");
    Statement(db_, "INSERT INTO meta VALUES (?, ?, ?)").bind(kForm).bind(of).bind(life_).row();
    load();
    return "";
  } catch (const std::exception &e) {
    return e.what();
  }
}

void SqliteRegisterStore::load() {
  registers_.clear();
  Statement all(db_, "SELECT * FROM registers");
  const auto ballot = [&](int i) {
    return custody::Ballot{all.number(i), all.number(i + 1), static_cast<std::uint32_t>(all.number(i + 2))};
  };
  while (all.row()) registers_[all.text(0)] = {ballot(1), ballot(4), all.text(7)};
}

sched::Task<std::string> SqliteRegisterStore::keep(std::string key) {
  const auto w = std::make_shared<Write>();
  w->held = registers_[key];
  w->key = std::move(key);
  {
    const std::lock_guard lock(mutex_);
    waiting_.push_back(w);
  }
  handed_.notify_one();
  while (!w->over) co_await sched_.wait(w->written);
  co_return w->fault;
}

void SqliteRegisterStore::forget(const std::string &key) {
  registers_.erase(key);
  const auto w = std::make_shared<Write>();
  w->key = key, w->gone = true;
  const std::lock_guard lock(mutex_);
  waiting_.push_back(w); // goes with the next that somebody waits for
}

sched::Task<> SqliteRegisterStore::wake() {
  for (;;) {
    std::uint64_t n = 0;
    if (read(event_, &n, sizeof n) != sizeof n) {
      co_await sched_.sleep(500'000); // the thread syncs a disk: a look each half millisecond is soon enough
      continue;
    }
    std::deque<std::shared_ptr<Write>> written;
    {
      const std::lock_guard lock(mutex_);
      written.swap(written_);
    }
    for (auto &w : written) w->over = true, w->written.notify();
  }
}

void SqliteRegisterStore::run() {
  for (;;) {
    std::deque<std::shared_ptr<Write>> batch;
    {
      std::unique_lock lock(mutex_);
      handed_.wait(lock, [&] { return over_ || !waiting_.empty(); });
      if (waiting_.empty()) return;
      while (!waiting_.empty() && batch.size() < kMostBatch)
        batch.push_back(std::move(waiting_.front())), waiting_.pop_front();
    }
    const auto fault = writeAll(batch);
    for (auto &w : batch) w->fault = fault;
    {
      const std::lock_guard lock(mutex_);
      for (auto &w : batch) written_.push_back(std::move(w));
    }
    const std::uint64_t one = 1;
    (void)!::write(event_, &one, sizeof one);
  }
}

std::string SqliteRegisterStore::writeAll(const std::deque<std::shared_ptr<Write>> &batch) {
  try {
    cluster::run(db_, "BEGIN IMMEDIATE");
    for (const auto &w : batch) cluster::write(db_, w->key, w->held, w->gone);
    cluster::run(db_, "COMMIT");
    return "";
  } catch (const std::exception &e) {
    std::string why = e.what();
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    return why;
  }
}

} // namespace myrtlehead::cluster
