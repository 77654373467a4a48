#pragma once

#include "platform/platform.h"
#include "store_fake.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace knapweed::test {

/** A configuration with version 31 and the services `s1` and `s2`. */
extern const std::string sample_config;

/** @returns `sample_config` with another version, in hexadecimal digits. */
[[nodiscard]] std::string config_with_version(const std::string& version);

/** @returns the entry of a server of `s1`. @param more further fields, with a comma in front. */
[[nodiscard]] std::string sample_entry(const std::string& state = "ready", const std::string& more = "");

/** A gateway that follows a fake store and has no listeners. The store holds a configuration, the servers i-1
   to i-7 of `s1` and an entry that can't be decoded. */
class store_watcher_fixture {
public:
    /** @param prepare is called with the store before the gateway starts. */
    explicit store_watcher_fixture(const std::string& config = sample_config,
                                   std::size_t store_bytes_per_second = 0,
                                   const std::function<void(store_fake&)>& prepare = {});
    store_watcher_fixture(const store_watcher_fixture&) = delete;
    store_watcher_fixture& operator=(const store_watcher_fixture&) = delete;
    ~store_watcher_fixture();

    /** Waits until a condition, evaluated on the instance's thread, is true. @returns false after a time
       limit that only ends a hanging test. */
    bool wait_for(const std::function<bool(steering::steerer&)>& condition);
    /** Waits until `s1` has a number of usable servers. */
    bool wait_for_usable(std::size_t servers);

    store_fake store;
    std::unique_ptr<gateway::gateway> instance;
    std::unique_ptr<platform::store_watcher> watcher;
    std::thread thread;
};

} // namespace knapweed::test
