package standin

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
)

// Command returns the command agate-standin, with a subcommand for each stand-in.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use: "agate-standin", Short: "Stand-ins for the platform, for tests and the demo",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(configCommand(), vmListCommand(), weightsCommand(), engineCommand(), serviceCommand(), relayCommand())
	return root
}

func listenFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("listen", "127.0.0.1:0", "IP address and port; loopback only")
}

// listen opens a loopback socket. The stand-ins refuse any other address.
func listen(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, result.Newf(result.UsageError, "--listen %q is not a loopback address with a port", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.Wrap(result.AddressInUse, err)
	}
	return l, nil
}

// serve runs an HTTP server with handler h until a stop signal.
func serve(address string, h http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	fmt.Println("listening on", l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	<-runtime.StopSignals()
	return server.Close()
}

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Configuration service", Args: cobra.NoArgs}
	address := listenFlag(cmd)
	cmd.RunE = func(*cobra.Command, []string) error { return serve(*address, NewConfigService().Handler()) }
	return cmd
}

func vmListCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "vmlist", Short: "VM list", Args: cobra.NoArgs}
	address := listenFlag(cmd)
	lag := cmd.Flags().Duration("lag", time.Second, "delay until readers see a change")
	cmd.RunE = func(*cobra.Command, []string) error { return serve(*address, NewVMList(*lag).Handler()) }
	return cmd
}

func weightsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "weights", Short: "Weight store", Args: cobra.NoArgs}
	address := listenFlag(cmd)
	cmd.RunE = func(*cobra.Command, []string) error { return serve(*address, NewWeightStore().Handler()) }
	return cmd
}

func engineCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "engine", Short: "Model engine", Args: cobra.NoArgs}
	address := listenFlag(cmd)
	cfg := DefaultEngineConfig()
	cmd.Flags().StringVar(&cfg.BaseModel, "base-model", cfg.BaseModel, "name of the base model")
	cmd.Flags().StringVar(&cfg.WeightStore, "weights", "", "base URL of the weight store")
	cmd.Flags().IntVar(&cfg.Slots, "slots", cfg.Slots, "number of adapter slots")
	cmd.Flags().IntVar(&cfg.MaxBatch, "max-batch", cfg.MaxBatch, "maximum number of sequences in one step")
	cmd.Flags().BoolVar(&cfg.KeepsFence, "keeps-fence", cfg.KeepsFence, "refuse orders with an old fencing number")
	cmd.RunE = func(*cobra.Command, []string) error {
		e := NewEngine(cfg)
		defer e.Close()
		return serve(*address, e.Handler())
	}
	return cmd
}

func serviceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "service", Short: "Plain service", Args: cobra.NoArgs}
	address := listenFlag(cmd)
	delay := cmd.Flags().Duration("delay", 5*time.Millisecond, "duration of one call")
	cmd.RunE = func(*cobra.Command, []string) error { return serve(*address, NewService(*delay).Handler()) }
	return cmd
}

func relayCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "relay", Short: "TCP relay that can cut or delay connections", Args: cobra.NoArgs}
	address := listenFlag(cmd)
	control := cmd.Flags().String("control", "127.0.0.1:0", "address for POST /cut, /heal and /delay?ms=N; loopback only")
	upstream := cmd.Flags().String("upstream", "", "address to forward to")
	cmd.RunE = func(*cobra.Command, []string) error {
		l, err := listen(*address)
		if err != nil {
			return err
		}
		r := NewRelay(l, *upstream)
		defer r.Close()
		mux := http.NewServeMux()
		mux.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { r.Cut() })
		mux.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) { r.Heal() })
		mux.HandleFunc("POST /delay", func(_ http.ResponseWriter, req *http.Request) {
			r.SetDelay(time.Duration(intParam(req, "ms", 0)) * time.Millisecond)
		})
		return serve(*control, mux)
	}
	return cmd
}
