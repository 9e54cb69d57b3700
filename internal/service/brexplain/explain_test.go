package brexplain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/service/brexplain"
)

const logLines = `   0.1 vm-1 {"time":"t1","msg":"record changed","vm":"vm-1","area":"orders","key":"config","revision":3}
{"time":"t2","msg":"record changed","vm":"vm-1","area":"servers","key":"i-7","revision":4}
{"time":"t2","msg":"record changed","vm":"vm-1","area":"servers","key":"i-8","revision":5}
{"time":"t3","msg":"source changed","vm":"vm-2","to":"store"}
{"time":"t6","msg":"failed","vm":"vm-1","request":"9c41","reason":"server-failed","server":"i-7"}
{"time":"t5","msg":"tried again","vm":"vm-1","request":"9c41","server":"i-7","cause":"reset"}
{"time":"t4","msg":"answered","vm":"vm-1","request":"other","server":"i-7"}
{"time":"t4","msg":"record cha
no line of ours
`

func TestExplainShowsStateOfVM(t *testing.T) {
	log := brexplain.New()
	require.NoError(t, log.Read(strings.NewReader(logLines)))
	require.Equal(t, 1, log.Skipped())
	require.Equal(t, []string{
		"t1 vm-1 record changed area=orders key=config revision=3",
		"t2 vm-1 record changed area=servers key=i-7 revision=4",
		"t5 vm-1 tried again cause=reset server=i-7",
		"t2 vm-1 record changed area=servers key=i-7 revision=4",
		"t6 vm-1 failed reason=server-failed server=i-7",
	}, log.Explain("9c41"))
	require.Empty(t, log.Explain("unknown"))
}
