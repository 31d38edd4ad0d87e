#include "Support/FileStamp.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace marigold {
namespace {

/// A file in a folder of its own.
struct FileStampFixture {
  FileStampFixture()
      : Folder_(std::filesystem::temp_directory_path() /
                ("marigold-stamp-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(Folder_);
    write("settings.conf", "service = a\n");
  }
  ~FileStampFixture() { std::filesystem::remove_all(Folder_); }

  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(Folder_ / Name) << Text;
  }
  std::optional<FileStamp> stamp() const {
    return stampOf((Folder_ / "settings.conf").string());
  }

  std::filesystem::path Folder_;
};

} // namespace

// Guards against settings that change without being noticed.
TEST_CASE_FIXTURE(FileStampFixture, "stamp changes with the file") {
  auto First = stamp();
  REQUIRE(First);
  CHECK(stamp() == First);
  write("settings.conf", "service = bb\n");
  auto Written = stamp();
  CHECK(Written != First);
  // A file of the same size takes the place of the old one.
  write("next.conf", "service = cc\n");
  std::filesystem::rename(Folder_ / "next.conf", Folder_ / "settings.conf");
  auto Replaced = stamp();
  CHECK(Replaced != Written);
  std::filesystem::remove(Folder_ / "settings.conf");
  CHECK_FALSE(stamp());
}

} // namespace marigold
