#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace marigold {

/// Identifies the content of a file without reading it. A file that is replaced
/// or written to gets another stamp.
struct FileStamp {
  std::uint64_t Inode_ = 0;
  std::uint64_t Size_ = 0;
  /// Time of the last change in nanoseconds, by the clock of the file system.
  std::int64_t ChangedNs_ = 0;

  friend bool operator==(const FileStamp &, const FileStamp &) = default;
};

/// Stamp of a file; nothing if there is no such file.
std::optional<FileStamp> stampOf(const std::string &Path);

} // namespace marigold
