// A thin layer over SQLite's C API: prepared statements are finalised at the end of their scope, and errors
// are reported as exceptions.
#pragma once

#include <cstdint>
#include <sqlite3.h>
#include <stdexcept>
#include <string>

namespace myrtlehead::cluster {

// A prepared statement. The constructor and step() throw std::runtime_error with SQLite's message.
class SqliteStatement {
public:
  SqliteStatement(sqlite3 *db, const char *sql) {
    if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK)
      throw std::runtime_error(sqlite3_errmsg(db));
  }
  ~SqliteStatement() { sqlite3_finalize(statement_); }
  SqliteStatement(const SqliteStatement &) = delete;
  SqliteStatement &operator=(const SqliteStatement &) = delete;

  // Binds the next parameter; parameters are bound from left to right.
  SqliteStatement &bind(const std::string &blob) {
    sqlite3_bind_blob(statement_, ++boundParameters_, blob.data(), static_cast<int>(blob.size()),
                      SQLITE_TRANSIENT);
    return *this;
  }
  SqliteStatement &bind(std::uint64_t number) {
    sqlite3_bind_int64(statement_, ++boundParameters_, static_cast<sqlite3_int64>(number));
    return *this;
  }

  // Advances to the next row. Returns false if there is no further row.
  bool step() {
    const int result = sqlite3_step(statement_);
    if (result != SQLITE_ROW && result != SQLITE_DONE)
      throw std::runtime_error(sqlite3_errmsg(sqlite3_db_handle(statement_)));
    return result == SQLITE_ROW;
  }
  std::uint64_t numberAt(int column) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }
  std::string blobAt(int column) {
    const auto *data = static_cast<const char *>(sqlite3_column_blob(statement_, column));
    if (data == nullptr) return "";
    return {data, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column))};
  }

private:
  sqlite3_stmt *statement_ = nullptr;
  int boundParameters_ = 0;
};

// Executes statements that have no parameters and whose results are ignored. Throws std::runtime_error with
// SQLite's message.
inline void executeSql(sqlite3 *db, const char *sql) {
  if (sqlite3_exec(db, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
    throw std::runtime_error(sqlite3_errmsg(db));
}

} // namespace myrtlehead::cluster
