// Main function of every test program. RapidCheck's seed is fixed, so that
// every run gives the same result. RC_PARAMS in the environment, for example
// "seed=7 max_success=1000", takes precedence.

#include <cstdlib>
#include <iostream>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

int main()
{
    constexpr int keep_given = 0;
    setenv("RC_PARAMS", "seed=20261204 max_success=100", keep_given);
    CppUnit::TestResult events;
    CppUnit::TestResultCollector collected;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&collected);
    events.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(events);
    CppUnit::CompilerOutputter(&collected, std::cerr).write();
    int failed = collected.testFailuresTotal();
    std::cout << collected.runTests() - failed << " passed, " << failed
              << " failed\n";
    return failed == 0 ? 0 : 1;
}
