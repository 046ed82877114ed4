#include "wrenswitch/decision/streams/stream_origin.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace {

using namespace wrenswitch;

/// What entries know, and what follows from it.
struct origin_case {
    std::string name;
    std::vector<stream_knowledge> known;
    std::string service;
    origin_source source;
    std::string version;
};

stream_knowledge with_record(const std::string& version, std::uint32_t attempt = 1) {
    stream_knowledge known;
    known.host = "front-" + version;
    known.record = stream_record{"r1", "llm", version, 0, attempt, instant(seconds(1))};
    return known;
}

stream_knowledge with_versions(recent_values::value_set versions, bool complete) {
    return {"front", std::nullopt, std::move(versions), complete};
}

const std::vector<origin_case> cases{
    {"nobody asked", {}, "llm", origin_source::unknown, ""},
    {"one record", {with_record("v1")}, "llm", origin_source::record, "v1"},
    {"a record beside entries that know nothing",
     {with_versions({"v1", "v2"}, true), with_record("v1"), with_versions({}, false)},
     "llm",
     origin_source::record,
     "v1"},
    {"a record although the route has several services",
     {with_record("v1")},
     "",
     origin_source::record,
     "v1"},
    {"records of two attempts",
     {with_record("v1", 1), with_record("v2", 2), with_record("v1", 1)},
     "llm",
     origin_source::record,
     "v2"},
    {"one version, seen for long enough",
     {with_versions({"v1"}, true)},
     "llm",
     origin_source::only_version,
     "v1"},
    {"one version without a name",
     {with_versions({""}, true)},
     "llm",
     origin_source::only_version,
     ""},
    {"one version, seen for long enough by another entry",
     {with_versions({"v1"}, false), with_versions({"v1"}, true)},
     "llm",
     origin_source::only_version,
     "v1"},
    {"one version, seen only by entries that have just started",
     {with_versions({"v1"}, false), with_versions({"v1"}, false)},
     "llm",
     origin_source::unknown,
     ""},
    {"another version that only a new entry has seen",
     {with_versions({"v1"}, true), with_versions({"v2"}, false)},
     "llm",
     origin_source::unknown,
     ""},
    {"two versions", {with_versions({"v1", "v2"}, true)}, "llm", origin_source::unknown, ""},
    {"no version", {with_versions({}, true)}, "llm", origin_source::unknown, ""},
    {"one version, but several services",
     {with_versions({"v1"}, true)},
     "",
     origin_source::unknown,
     ""},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_origin_test)

BOOST_AUTO_TEST_CASE(origin_follows_from_what_entries_know) {
    for (const origin_case& each : cases) {
        BOOST_TEST_CONTEXT(each.name) {
            const stream_origin found = determine_origin(each.known, each.service);
            BOOST_TEST(name_of(found.source) == name_of(each.source));
            BOOST_TEST(found.version == each.version);
            BOOST_TEST(found.service == (each.source == origin_source::unknown ? "" : "llm"));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
