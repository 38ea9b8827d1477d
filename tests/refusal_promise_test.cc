#include "io/backend_pool.h"
#include "tests/io_test_util.h"
#include "tests/platform_processes.h"
#include "tests/refusal_repeating_server.h"

/// A request that is answered "not run" has run nowhere.
namespace eelgrasspin::platform {
namespace {

using RefusalPromiseOfProcess = PlatformProcesses;

TEST_F(RefusalPromiseOfProcess,
       RepeatedRefusalIsNotTakenForTheAnswerToALaterSend) {
  RefusalRepeatingServer server(io_);
  for (const auto& book : books_) store_.remove(kServersKind, book->name());
  ServerStandin entry(io_, "i-book9", false);
  entry.address = server.endpoint();
  list(entry, "book");
  Process process = start(8);
  ASSERT_TRUE(become_ready(process));
  EXPECT_EQ(status(callers(process), once("post-5")), 503);
  EXPECT_TRUE(server.ran().empty());
  EXPECT_EQ(status(callers(process), once("post-5")), 200);
  EXPECT_EQ(server.ran().size(), 1u);
}

TEST(RefusalPromise, OnceOnlyRequestAvoidsAConnectionThatCarriedARefusal) {
  boost::asio::io_context io;
  io::BackendPool pool(io);
  RefusalRepeatingServer server(io);
  auto status = [&](bool repeatable) {
    std::optional<io::HttpResult> result;
    pool.start(
        {{"GET", "/", {{"Host", "h"}, {kRequestIdHeader, "x"}}, "", {}},
         server.endpoint(),
         seconds(2),
         repeatable,
         nullptr},
        [&](io::HttpResult ended, const io::BackendPool::ConnectionUse&) {
          result = std::move(ended);
        });
    EXPECT_TRUE(run_until(io, [&] { return result.has_value(); }));
    auto* response = std::get_if<io::HttpResponse>(&*result);
    return response == nullptr ? 0 : response->status;
  };
  EXPECT_EQ(status(false), 503);
  EXPECT_EQ(status(false), 200);
  EXPECT_EQ(pool.connections_made(), 2u);
  EXPECT_EQ(status(false), 200);
  EXPECT_EQ(pool.connections_made(), 2u);
}

}  // namespace
}  // namespace eelgrasspin::platform
