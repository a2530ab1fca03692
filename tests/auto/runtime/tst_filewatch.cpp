#define BOOST_TEST_MODULE tst_filewatch
#include <boost/test/unit_test.hpp>

#include "runtime/clock.h"
#include "runtime/filewatch.h"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

using namespace Lagoonbank;
namespace fs = std::filesystem;

namespace {

struct Fixture
{
    Fixture()
        : path(fs::temp_directory_path() / ("tst_filewatch." + std::to_string(getpid())))
    {
        write(path, "one");
    }
    ~Fixture() { fs::remove(path); }
    static void write(const fs::path &file, const std::string &text)
    {
        std::ofstream(file) << text;
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }

    fs::path path;
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    int changes = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(reportsWrittenAndReplacedFilesOnce)
{
    Fixture f;
    const Runtime::FileWatch watch(
        {.timers = &f.timers, .path = f.path.string(), .changed = [&f] { ++f.changes; }});
    f.pass(std::chrono::seconds(3));
    BOOST_TEST(f.changes == 0);
    Fixture::write(f.path, "longer");
    f.pass(std::chrono::seconds(1));
    f.pass(std::chrono::seconds(1));
    BOOST_TEST(f.changes == 1);
    const fs::path replacement = f.path.string() + ".new";
    Fixture::write(replacement, "longer");
    fs::rename(replacement, f.path);
    f.pass(std::chrono::seconds(1));
    BOOST_TEST(f.changes == 2);
    fs::remove(f.path);
    f.pass(std::chrono::seconds(1));
    BOOST_TEST(f.changes == 2);
}
