#include "Support/FileStamp.h"

#include <sys/stat.h>

namespace marigold {

std::optional<FileStamp> stampOf(const std::string &Path) {
  struct stat Info {};
  if (::stat(Path.c_str(), &Info) != 0)
    return std::nullopt;
  constexpr std::int64_t NsPerSecond = 1'000'000'000;
  return FileStamp{static_cast<std::uint64_t>(Info.st_ino),
                   static_cast<std::uint64_t>(Info.st_size),
                   Info.st_mtim.tv_sec * NsPerSecond + Info.st_mtim.tv_nsec};
}

} // namespace marigold
