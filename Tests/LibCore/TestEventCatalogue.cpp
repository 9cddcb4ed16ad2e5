#include <doctest/doctest.h>

#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <string>
#include <vector>

namespace {

struct FoundEvent
{
    int number;
    std::string name;
    std::string severity; ///< In lower case.
    std::string source;

    std::string text() const
    {
        return std::to_string(number) + " " + name + " (" + severity + ")";
    }
};

using Faults = std::vector<std::string>;

std::string contentOf(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

std::string lowerCase(std::string text)
{
    for (char &character : text) {
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    return text;
}

void addMatches(const std::string &text, const std::regex &pattern, const std::string &source,
                std::vector<FoundEvent> &events)
{
    for (std::sregex_iterator match(text.begin(), text.end(), pattern); match != std::sregex_iterator(); ++match) {
        events.push_back({ std::stoi((*match)[1]), (*match)[2], lowerCase((*match)[3]), source });
    }
}

std::vector<FoundEvent> eventsOfHeader(const std::string &text, const std::string &source)
{
    static const std::regex pattern(R"re(EventType\s+\w+\s*\{\s*(\d+)\s*,\s*"([^"]*)"\s*,\s*Severity::(\w+)\s*\})re");
    std::vector<FoundEvent> events;
    addMatches(text, pattern, source, events);
    return events;
}

std::vector<FoundEvent> eventsOfTable(const std::string &text, const std::string &source)
{
    static const std::regex pattern(R"(\| *(\d+) *\| *([^|\n]*[^|\n ]) *\| *(\w+) *\|[^|\n]*[^|\n ][^|\n]*\|)");
    std::vector<FoundEvent> events;
    addMatches(text, pattern, source, events);
    return events;
}

std::map<int, FoundEvent> byNumber(const std::vector<FoundEvent> &events, Faults &faults)
{
    std::map<int, FoundEvent> result;
    for (const FoundEvent &event : events) {
        const auto [known, isNew] = result.emplace(event.number, event);
        if (!isNew) {
            faults.push_back("number " + std::to_string(event.number) + " is used twice: " + known->second.name + " in "
                             + known->second.source + " and " + event.name + " in " + event.source);
        }
    }
    return result;
}

Faults compare(const std::vector<FoundEvent> &headers, const std::vector<FoundEvent> &table)
{
    Faults faults;
    const std::map<int, FoundEvent> defined = byNumber(headers, faults);
    const std::map<int, FoundEvent> listed = byNumber(table, faults);
    for (const auto &[number, event] : defined) {
        const auto row = listed.find(number);
        if (row == listed.end()) {
            faults.push_back(event.text() + " of " + event.source + " is missing in docs/events.md");
        } else if (row->second.text() != event.text()) {
            faults.push_back(event.text() + " of " + event.source + " is listed in docs/events.md as "
                             + row->second.text());
        }
    }
    for (const auto &[number, event] : listed) {
        if (!defined.contains(number)) {
            faults.push_back(event.text() + " of docs/events.md is missing in the headers");
        }
    }
    return faults;
}

bool definesEvents(const std::filesystem::path &file)
{
    const std::string name = file.filename().string();
    return name.ends_with("Events.h") || name == "EventLog.h";
}

void addEventsOf(const std::filesystem::path &header, std::vector<FoundEvent> &events)
{
    const std::string text = contentOf(header);
    const std::vector<FoundEvent> found = eventsOfHeader(text, header.string());
    static const std::regex definition(R"(\bEventType\s+\w+\s*\{)");
    const auto definitions =
        std::distance(std::sregex_iterator(text.begin(), text.end(), definition), std::sregex_iterator());
    // Without this check, a definition in another form would be skipped.
    CHECK_MESSAGE(found.size() == static_cast<std::size_t>(definitions),
                  header.string() << " defines an event in a form that this test can't read");
    events.insert(events.end(), found.begin(), found.end());
}

std::vector<FoundEvent> eventsOfAllHeaders()
{
    std::vector<FoundEvent> events;
    for (const char *const root : { "Libraries", "platform" }) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
            if (definesEvents(entry.path())) {
                addEventsOf(entry.path(), events);
            }
        }
    }
    return events;
}

} // namespace

TEST_CASE("docs/events.md lists exactly the events that the headers define")
{
    // Guards against events that operators can't look up, and against a number that means two things.
    const std::vector<FoundEvent> headers = eventsOfAllHeaders();
    REQUIRE_MESSAGE(!headers.empty(), "no *Events.h found; run the test in the project's root");
    for (const std::string &fault : compare(headers, eventsOfTable(contentOf("docs/events.md"), "docs/events.md"))) {
        FAIL_CHECK(fault);
    }
}

TEST_CASE("the comparison of events finds each kind of difference")
{
    // Guards against a comparison that passes because it reads nothing.
    const auto headers = eventsOfHeader("inline constexpr EventType a { 1, \"one\",\n    Severity::Info };\n"
                                        "inline constexpr EventType b {2, \"two\", Severity::Error};\n"
                                        "inline constexpr EventType c { 2, \"other\", Severity::Info };\n"
                                        "inline constexpr EventType d { 3, \"three\", Severity::Info };\n",
                                        "AEvents.h");
    const auto table = eventsOfTable("| number | name | severity | meaning and what to do |\n|---|---|---|---|\n"
                                     "| 1 | uno | info | Text. |\n| 2 | two | warning | Text. |\n"
                                     "| 4 | four | info | Text. |\n",
                                     "docs/events.md");
    const Faults expected {
        "number 2 is used twice: two in AEvents.h and other in AEvents.h",
        "1 one (info) of AEvents.h is listed in docs/events.md as 1 uno (info)",
        "2 two (error) of AEvents.h is listed in docs/events.md as 2 two (warning)",
        "3 three (info) of AEvents.h is missing in docs/events.md",
        "4 four (info) of docs/events.md is missing in the headers",
    };
    CHECK(compare(headers, table) == expected);
}
