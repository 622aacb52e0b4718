#include "cluster/register_store.h"

#include "cluster/sqlite_statement.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <sys/eventfd.h>
#include <unistd.h>

namespace myrtlehead::cluster {

namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMaxBatchWrites = 512; // the largest number of writes in one transaction
// The interval between two reads of finishedEventFd_: 0.5 ms, which is short compared with the time that a
// disk needs to synchronise a write.
constexpr sched::Nanoseconds kFinishedPollInterval = 500'000;

void writeRegister(sqlite3 *db, const std::string &key, const consensus::AcceptorState &state) {
  SqliteStatement(db, "INSERT OR REPLACE INTO registers VALUES (?, ?, ?, ?, ?, ?, ?, ?)")
      .bind(key)
      .bind(state.promised.round)
      .bind(state.promised.incarnation)
      .bind(state.promised.member)
      .bind(state.accepted.round)
      .bind(state.accepted.incarnation)
      .bind(state.accepted.member)
      .bind(state.value)
      .step();
}

void eraseRegister(sqlite3 *db, const std::string &key) {
  SqliteStatement(db, "DELETE FROM registers WHERE key = ?").bind(key).step();
}

consensus::Ballot ballotAt(SqliteStatement &row, int column) {
  return {row.numberAt(column), row.numberAt(column + 1),
          static_cast<std::uint32_t>(row.numberAt(column + 2))};
}

// Throws std::runtime_error if the folder can't be created or written.
void createWritableFolder(const std::string &folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error || access(folder.c_str(), W_OK) != 0)
    throw std::runtime_error("fleet.folder: the folder " + folder + " can't be created or written: " +
                             (error ? error.message() : std::strerror(errno)));
}

} // namespace

SqliteRegisterStore::SqliteRegisterStore(sched::Scheduler &sched, const std::string &folder,
                                         const std::string &memberName, std::uint64_t unixNow)
    : sched_(sched), path_(folder + "/ledger.db") {
  createWritableFolder(folder);
  openOrSetAside(memberName, unixNow);
  finishedEventFd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (finishedEventFd_ < 0) throw std::runtime_error("the register store can't create an eventfd");
  writer_ = std::thread([this] { runWriter(); });
}

SqliteRegisterStore::~SqliteRegisterStore() {
  {
    const std::lock_guard lock(mutex_);
    isClosing_ = true;
  }
  writerWake_.notify_one();
  writer_.join();
  sqlite3_close(db_);
  close(finishedEventFd_);
}

void SqliteRegisterStore::openOrSetAside(const std::string &memberName, std::uint64_t unixNow) {
  setAsideReason_ = open(memberName, unixNow);
  if (!setAsideReason_) return;
  sqlite3_close(db_);
  db_ = nullptr;
  std::error_code ignored;
  // The write-ahead log is renamed as well. Otherwise SQLite would take it for the log of the new file.
  for (const char *suffix : {"", "-wal", "-shm"})
    std::filesystem::rename(path_ + suffix, path_ + ".refused" + suffix, ignored);
  if (const auto error = open(memberName, unixNow))
    throw std::runtime_error("fleet.folder: a new register store " + path_ +
                             " can't be created: " + error->message);
}

std::optional<StorageError> SqliteRegisterStore::open(const std::string &memberName, std::uint64_t unixNow) {
  try {
    openDatabase();
    if (auto error = readMeta(memberName)) return error;
    // The new incarnation is greater than the stored one. If the file was lost, the Unix time makes it
    // greater than those of earlier runs.
    incarnation_ = std::max(incarnation_ + 1, unixNow);
    // The columns of the ballots: p is promised, a is accepted; r is the round, l the incarnation, m the
    // member.
    executeSql(
        db_,
        "CREATE TABLE IF NOT EXISTS registers (key BLOB PRIMARY KEY, pr INTEGER, pl INTEGER, pm INTEGER, "
        "ar INTEGER, al INTEGER, am INTEGER, value BLOB) WITHOUT ROWID; DELETE FROM meta");
    SqliteStatement(db_, "INSERT INTO meta VALUES (?, ?, ?)")
        .bind(kFormatVersion)
        .bind(memberName)
        .bind(incarnation_)
        .step();
    loadRegisters();
    return std::nullopt;
  } catch (const std::exception &e) {
    return StorageError{e.what()};
  }
}

void SqliteRegisterStore::openDatabase() {
  constexpr int kFlags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_FULLMUTEX;
  if (sqlite3_open_v2(path_.c_str(), &db_, kFlags, nullptr) != SQLITE_OK)
    throw std::runtime_error(sqlite3_errmsg(db_));
  executeSql(db_, "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL");
}

// Checks the file's format version (column `form`) and member (`owner`), and reads the last incarnation
// (`life`). A new file contains none of them.
std::optional<StorageError> SqliteRegisterStore::readMeta(const std::string &memberName) {
  executeSql(db_, "CREATE TABLE IF NOT EXISTS meta (form INTEGER, owner BLOB, life INTEGER)");
  SqliteStatement meta(db_, "SELECT form, owner, life FROM meta");
  if (!meta.step()) return std::nullopt;
  const auto format = meta.numberAt(0);
  const auto owner = meta.blobAt(1);
  if (format != kFormatVersion)
    return StorageError{"the file has format version " + std::to_string(format) +
                        ", but this program expects version " + std::to_string(kFormatVersion)};
  if (owner != memberName)
    return StorageError{"the file belongs to the member '" + owner + "', but this member is '" + memberName +
                        "'"};
  incarnation_ = meta.numberAt(2);
  return std::nullopt;
}

void SqliteRegisterStore::loadRegisters() {
  constexpr int kKey = 0;
  constexpr int kPromised = 1; // the first of three columns
  constexpr int kAccepted = 4; // the first of three columns
  constexpr int kValue = 7;
  registers_.clear();
  SqliteStatement rows(db_, "SELECT * FROM registers");
  while (rows.step())
    registers_[rows.blobAt(kKey)] = {ballotAt(rows, kPromised), ballotAt(rows, kAccepted),
                                     rows.blobAt(kValue)};
}

sched::Task<std::optional<StorageError>> SqliteRegisterStore::persist(std::string key) {
  const auto write = std::make_shared<Write>();
  write->state = registers_[key];
  write->key = std::move(key);
  {
    const std::lock_guard lock(mutex_);
    pendingWrites_.push_back(write);
  }
  writerWake_.notify_one();
  while (!write->isFinished) co_await sched_.wait(write->finished);
  co_return write->error;
}

// The writer thread is not woken: it writes the erase together with the next persisted register.
void SqliteRegisterStore::erase(const std::string &key) {
  registers_.erase(key);
  const auto write = std::make_shared<Write>();
  write->key = key;
  write->isErase = true;
  const std::lock_guard lock(mutex_);
  pendingWrites_.push_back(write);
}

sched::Task<> SqliteRegisterStore::notifyPersisted() {
  for (;;) {
    std::uint64_t finishedBatches = 0;
    if (read(finishedEventFd_, &finishedBatches, sizeof finishedBatches) != sizeof finishedBatches) {
      co_await sched_.sleep(kFinishedPollInterval);
      continue;
    }
    Writes finished;
    {
      const std::lock_guard lock(mutex_);
      finished.swap(finishedWrites_);
    }
    for (auto &write : finished) {
      write->isFinished = true;
      write->finished.notify();
    }
  }
}

void SqliteRegisterStore::runWriter() {
  for (;;) {
    auto batch = nextBatch();
    if (batch.empty()) return;
    const auto error = writeBatch(batch);
    for (auto &write : batch) write->error = error;
    {
      const std::lock_guard lock(mutex_);
      for (auto &write : batch) finishedWrites_.push_back(std::move(write));
    }
    const std::uint64_t one = 1;
    (void)!::write(finishedEventFd_, &one, sizeof one);
  }
}

// Waits for pending writes. Returns an empty batch once the store is closing and no write is left.
SqliteRegisterStore::Writes SqliteRegisterStore::nextBatch() {
  std::unique_lock lock(mutex_);
  writerWake_.wait(lock, [&] { return isClosing_ || !pendingWrites_.empty(); });
  Writes batch;
  while (!pendingWrites_.empty() && batch.size() < kMaxBatchWrites) {
    batch.push_back(std::move(pendingWrites_.front()));
    pendingWrites_.pop_front();
  }
  return batch;
}

std::optional<StorageError> SqliteRegisterStore::writeBatch(const Writes &batch) {
  try {
    executeSql(db_, "BEGIN IMMEDIATE");
    for (const auto &write : batch) {
      if (write->isErase)
        eraseRegister(db_, write->key);
      else
        writeRegister(db_, write->key, write->state);
    }
    executeSql(db_, "COMMIT");
    return std::nullopt;
  } catch (const std::exception &e) {
    StorageError error{e.what()};
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    return error;
  }
}

} // namespace myrtlehead::cluster
